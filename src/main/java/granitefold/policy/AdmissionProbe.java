package granitefold.policy;

/**
 * Admits an occasional request although all workers are estimated to be too busy. A dispatcher that refuses
 * everything sends nothing, and its estimates of waits, speeds and slots, learned from its own jobs, stay as
 * they are. After some refusals in a row, without recent feedback, one request is admitted. The drawback:
 * that request may be late.
 */
final class AdmissionProbe {
    /**
     * Minimum number of consecutive refusals before a probe. The actual number varies up to twice that, so
     * that dispatchers do not probe in step.
     */
    private static final int MIN_REFUSALS = 5;
    /**
     * Each attempt that waits for its start is a probe too and doubles the refusals, up to this many times.
     */
    private static final int MAX_DOUBLINGS = 2;

    private final PolicyState state;
    /**
     * How long feedback from own jobs counts as recent: as long as load reports of siblings, if there are
     * any.
     */
    private final double recentUs;
    private int refusals;
    private int refusalsNeeded;
    private long sends;
    private long lastSentAt;

    AdmissionProbe(PolicyState state) {
        this.state = state;
        boolean gossip = state.settings.limits().siblingMessages() && state.siblings > 1;
        recentUs = gossip ? Gossip.REPORT_LIFETIME_US : Math.max(Gossip.GOSSIP_INTERVAL_US,
                Math.min(Gossip.REPORT_LIFETIME_US, state.tightestAllowanceUs));
        resetThreshold();
    }

    /**
     * Returns whether a request that would be refused is admitted as a probe; at first only up to mean work.
     */
    boolean admits(Job job, long now) {
        refusals++;
        if (now - Math.max(lastSentAt, state.waitErrorAt) < recentUs) {
            return false;
        }
        int threshold = refusalsNeeded << Math.min(MAX_DOUBLINGS, waitingAttempts());
        return refusals >= threshold && (job.workUs <= state.meanWorkUs || refusals >= 2 * threshold);
    }

    /** Records that an attempt was sent. */
    void recordSend(long now) {
        lastSentAt = now;
        sends++;
        resetThreshold();
    }

    private void resetThreshold() {
        refusals = 0;
        refusalsNeeded = MIN_REFUSALS + (int) Long.remainderUnsigned(
                TrackedWorker.hash(state.settings.selfIndex(), sends), MIN_REFUSALS);
    }

    private int waitingAttempts() {
        int waiting = 0;
        for (TrackedWorker worker : state.preferred) {
            for (Attempt attempt : worker.openAttempts) {
                waiting += attempt.startedAt == 0 ? 1 : 0;
            }
        }
        return waiting;
    }
}
