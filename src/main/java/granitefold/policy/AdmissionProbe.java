package granitefold.policy;

/**
 * Samples workers that are estimated to be too busy. A dispatcher that refuses everything sends nothing,
 * and its estimates of waits, speeds and slots, learned from its own jobs, stay as they are. After some
 * refusals in a row, with no recent feedback, one request is admitted. Harm: that request may be late.
 */
final class AdmissionProbe {
    /** Refusals in a row before a probe: up to twice as many, so that dispatchers do not probe in step. */
    private static final int REFUSALS = 5;
    /** An attempt that waits for its start is a sample too: it doubles the refusals, at most so often. */
    private static final int DOUBLINGS_MOST = 2;

    private final Knowledge k;
    /** How long feedback from own jobs counts as recent: as long as siblings' messages, if there are any. */
    private final double recentUs;
    private int refusals;
    private int needed;
    private long sends;
    private long sentAt;

    AdmissionProbe(Knowledge k) {
        this.k = k;
        boolean gossip = k.set.limits().siblingMessages() && k.siblings > 1;
        recentUs = gossip ? Gossip.WORD_US : Math.max(Gossip.GOSSIP_US, Math.min(Gossip.WORD_US, k.tightest));
        spread();
    }

    /** Whether a request that would be refused is admitted as a probe: first one of at most mean work. */
    boolean admits(Job job, long now) {
        refusals++;
        if (now - Math.max(sentAt, k.driftAt) < recentUs) {
            return false;
        }
        int least = needed << Math.min(DOUBLINGS_MOST, waiting());
        return refusals >= least && (job.work <= k.meanWork || refusals >= 2 * least);
    }

    /** An attempt was sent. */
    void sent(long now) {
        sentAt = now;
        sends++;
        spread();
    }

    private void spread() {
        refusals = 0;
        needed = REFUSALS + (int) Long.remainderUnsigned(Node.mix(k.set.selfIndex(), sends), REFUSALS);
    }

    private int waiting() {
        int waiting = 0;
        for (Node n : k.near) {
            for (Attempt a : n.out) {
                waiting += a.startedAt == 0 ? 1 : 0;
            }
        }
        return waiting;
    }
}
