package granitefold.availability;

/**
 * Computes the next availability state from the current state, the signals and the time. A status that follows from the
 * process phase or from an operator's request applies immediately. A measured status changes only after several
 * evaluations in a row and a minimum dwell time, and the weight moves in bounded steps, because a balancer's reaction to
 * a change comes back as a change of load. "Rise", "fall" and "slow start" have the meaning that HAProxy gives them
 * (configuration manual, 5.2, "rise", "fall", "slowstart").
 */
public final class AvailabilityStateMachine {
    private static final int FULL_WEIGHT = 100;
    /** Share of finished attempts that must have reached a worker for the worker list to be trusted. */
    private static final double MIN_REACHED_SHARE = 0.9;

    private final AvailabilitySettings settings;
    private final int maxConnections;

    /**
     * The state kept between evaluations.
     *
     * @param statusSince when the current status began
     * @param evaluatedAt time of the last evaluation that counted
     * @param servingSince when service last began; the slow start is measured from here
     * @param candidate a different status that the last {@code candidateCount} evaluations asked for, or null
     * @param listTrusted whether the worker list was ever confirmed in this process; never reset
     * @param impaired whether there is a problem other than load
     */
    public record State(AvailabilityStatus status, int weight, String reason, long statusSince, long evaluatedAt, long servingSince,
            AvailabilityStatus candidate, int candidateCount, boolean listTrusted, boolean impaired) {
        public static State initial(long now) {
            return new State(AvailabilityStatus.STARTING, 0, "no word from discovery yet", now, now, now, null, 0, false, true);
        }
    }

    /** The result of the measurements alone, before evaluation counts, dwell time and weight steps are applied. */
    private record Assessment(AvailabilityStatus status, int maxWeight, boolean impaired, String reason) { }

    /** Creates a state machine; {@code maxConnections} is the limit of client connections at full weight. */
    public AvailabilityStateMachine(AvailabilitySettings settings, int maxConnections) {
        this.settings = settings;
        this.maxConnections = maxConnections;
    }

    /** Returns what balancers are told about a state. */
    public AvailabilityReport report(State state) {
        int share = state.status().acceptsTraffic() ? Math.max(state.weight(), 1) : 0;
        return new AvailabilityReport(state.status(), state.weight(), Math.max(share > 0 ? 1 : 0, maxConnections * share / FULL_WEIGHT),
                state.impaired(), state.reason());
    }

    /** Returns the state after an evaluation at {@code time}; a time before the last evaluation counts as that one's. */
    public State next(State state, AvailabilitySignals signals, long time) {
        long now = Math.max(time, state.evaluatedAt());
        boolean listTrusted = state.listTrusted() || signals.listConfirmed() || confirmedByAttempts(signals);
        Assessment direct = directAssessment(signals);
        if (direct != null) {
            boolean same = direct.status() == state.status();
            return new State(direct.status(), 0, direct.reason(), same ? state.statusSince() : now, now, now, null, 0, listTrusted, true);
        }
        if (state.status().isSetDirectly()) {
            Assessment assessment = assess(state, signals, listTrusted);
            return new State(assessment.status(), Math.min(settings.slowStartWeight(), assessment.maxWeight()), assessment.reason(), now,
                    now, now, null, 0, listTrusted, assessment.impaired());
        }
        if (now - state.evaluatedAt() < settings.intervalUs()) {
            return state;
        }
        return nextMeasured(state, assess(state, signals, listTrusted), listTrusted, now);
    }

    private State nextMeasured(State state, Assessment assessment, boolean listTrusted, long now) {
        AvailabilityStatus status = state.status();
        AvailabilityStatus candidate = assessment.status() == status ? null : assessment.status();
        int count = candidate == null ? 0 : candidate == state.candidate() ? state.candidateCount() + 1 : 1;
        long since = state.statusSince();
        int requiredCount = candidate != null && candidate.compareTo(status) > 0 && candidate != AvailabilityStatus.READY
                ? settings.fall() : settings.rise();
        if (candidate != null && count >= requiredCount && now - since >= settings.dwellUs()) {
            status = candidate;
            since = now;
            candidate = null;
            count = 0;
        }
        long servingUs = now - state.servingSince();
        int maxWeight = servingUs >= settings.slowStartUs() ? assessment.maxWeight()
                : (int) Math.min(assessment.maxWeight(), settings.slowStartWeight()
                        + (FULL_WEIGHT - settings.slowStartWeight()) * servingUs / settings.slowStartUs());
        int weight = state.weight() + Math.max(-settings.stepDown(), Math.min(settings.stepUp(), maxWeight - state.weight()));
        if (!listTrusted) {
            // Steps smooth measured values. An unconfirmed worker list is not a measured value, so its limit applies at once.
            weight = Math.min(weight, maxWeight);
        }
        Assessment effective = status == assessment.status() ? assessment : new Assessment(status, 0, state.impaired(), state.reason());
        return new State(status, Math.max(1, weight), effective.reason(), since, now, state.servingSince(), candidate, count, listTrusted,
                effective.impaired());
    }

    /** Returns the status that needs no measurement, or null. The end of the process takes precedence over an operator's request. */
    private static Assessment directAssessment(AvailabilitySignals signals) {
        if (signals.processPhase() == ProcessPhase.SHUT_DOWN) {
            return new Assessment(AvailabilityStatus.STOPPED, 0, true, "the process ends");
        }
        if (signals.processPhase() == ProcessPhase.SHUTTING_DOWN) {
            return new Assessment(AvailabilityStatus.DRAINING, 0, true, "the process is to end");
        }
        if (signals.requestedMode() == RequestedMode.MAINT) {
            return new Assessment(AvailabilityStatus.MAINT, 0, true, "an operator's word");
        }
        if (signals.requestedMode() == RequestedMode.DRAIN) {
            return new Assessment(AvailabilityStatus.DRAINING, 0, true, "an operator's word");
        }
        return signals.processPhase() == ProcessPhase.STARTING
                ? new Assessment(AvailabilityStatus.STARTING, 0, true, "no word from discovery yet") : null;
    }

    /** Enough attempts have reached a worker and few have failed to: the worker list is correct, whatever its age. */
    private boolean confirmedByAttempts(AvailabilitySignals signals) {
        return signals.attemptsReached() >= settings.staleAttempts()
                && signals.attemptsReached() >= MIN_REACHED_SHARE * (signals.attemptsReached() + signals.attemptsUnreachable());
    }

    private Assessment assess(State state, AvailabilitySignals signals, boolean listTrusted) {
        Assessment load = assessLoad(state, signals);
        if (!listTrusted) {
            int attempts = signals.attemptsReached() + signals.attemptsUnreachable();
            double share = attempts == 0 ? 1 : (double) signals.attemptsReached() / attempts;
            int weight = Math.max(1, (int) (settings.staleWeight() * share));
            return new Assessment(AvailabilityStatus.STALE, Math.min(weight, load.maxWeight()), true,
                    signals.attemptsUnreachable() > signals.attemptsReached()
                    ? "the saved list is wrong: " + signals.attemptsUnreachable() + " of " + attempts + " attempts found no worker"
                    : "the saved list is not confirmed");
        }
        if (load.status() == AvailabilityStatus.OVERLOADED) {
            return load;
        }
        if (signals.readyWorkers() == 0) {
            return new Assessment(AvailabilityStatus.DEGRADED, settings.minWeight(), true, "no worker is ready");
        }
        if (signals.discoverySilenceUs() >= settings.discoverySilenceUs()) {
            // The weight stays: all dispatchers may have lost discovery, and the last known list is still usable.
            return new Assessment(AvailabilityStatus.DEGRADED, load.maxWeight(), true, "discovery is silent");
        }
        return load;
    }

    /** Assesses the load by the one measurement that is the highest in proportion to its limit. */
    private Assessment assessLoad(State state, AvailabilitySignals signals) {
        double highest = 0;
        String reason = "";
        double[] ratios = {signals.rejectShare() / settings.rejectShare(), signals.refusingWorkerShare() / settings.refusingWorkerShare(),
            signals.waitMultiple() / settings.waitMultiple(), (double) signals.lagUs() / settings.lagUs(),
            signals.clientConnectionShare() / settings.resourceShare(), signals.descriptorShare() / settings.resourceShare(),
            signals.heapShare() / settings.resourceShare()};
        String[] reasons = {"requests are rejected", "workers refuse", "workers are behind", "the loop lags", "places for clients run short",
            "descriptors run short", "memory runs short"};
        for (int i = 0; i < ratios.length; i++) {
            if (ratios[i] > highest) {
                highest = ratios[i];
                reason = reasons[i];
            }
        }
        if (highest >= (state.status() == AvailabilityStatus.OVERLOADED ? settings.reliefFactor() : 1)) {
            return new Assessment(AvailabilityStatus.OVERLOADED,
                    (int) Math.max(settings.minWeight(), Math.min(FULL_WEIGHT, FULL_WEIGHT / highest)), false, reason);
        }
        return highest >= settings.reliefFactor() ? new Assessment(AvailabilityStatus.DEGRADED, FULL_WEIGHT, false, reason)
                : new Assessment(AvailabilityStatus.READY, FULL_WEIGHT, false, "all is well");
    }
}
