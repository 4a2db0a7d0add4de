package granitefold.availability;

/**
 * The machine: (state, signals, now) to the next state. A standing that follows from the phase or from an operator's
 * word holds at once. One that is measured needs several evaluations in a row and a least stay, and the weight moves
 * in bounded steps, since a balancer's answer to a change comes back as a change of load. Rise and fall are HAProxy's
 * terms (configuration manual, 5.2, "rise", "fall"), slow start too ("slowstart").
 */
public final class AvailabilityStateMachine {
    private static final int FULL = 100;
    /** Of all attempts that came to an end, so many must have reached a worker for the list to be believed. */
    private static final double BELIEVED = 0.9;

    private final AvailabilitySettings set;
    private final int connections;

    /**
     * What is remembered between evaluations.
     *
     * @param since when this standing began
     * @param at the last evaluation that counted
     * @param serving when service last began: the slow start's zero
     * @param candidate another standing that the last evaluations asked for, and {@code count} of them
     * @param believed the list was confirmed once; it stays so for this life
     * @param impaired something other than load is amiss
     */
    public record State(AvailabilityStatus status, int weight, String reason, long statusSince, long evaluatedAt, long servingSince,
            AvailabilityStatus candidate, int candidateCount, boolean listTrusted, boolean impaired) {
        public static State initial(long now) {
            return new State(AvailabilityStatus.STARTING, 0, "no word from discovery yet", now, now, now, null, 0, false, true);
        }
    }

    /** What the measurements say, before counts, dwell and steps. */
    private record Judgement(AvailabilityStatus standing, int ceiling, boolean impaired, String reason) { }

    /** {@code connections}: places for client connections at full weight. */
    public AvailabilityStateMachine(AvailabilitySettings set, int connections) {
        this.set = set;
        this.connections = connections;
    }

    public AvailabilityReport report(State s) {
        int share = s.status().acceptsTraffic() ? Math.max(s.weight(), 1) : 0;
        return new AvailabilityReport(s.status(), s.weight(), Math.max(share > 0 ? 1 : 0, connections * share / FULL),
                s.impaired(), s.reason());
    }

    /** The state after an evaluation. A time before the last one counts as that one. */
    public State next(State s, AvailabilitySignals in, long time) {
        long now = Math.max(time, s.evaluatedAt());
        boolean believed = s.listTrusted() || in.listConfirmed() || proven(in);
        Judgement told = told(in);
        if (told != null) {
            boolean same = told.standing() == s.status();
            return new State(told.standing(), 0, told.reason(), same ? s.statusSince() : now, now, now, null, 0, believed, true);
        }
        if (s.status().isSetDirectly()) {
            Judgement j = judge(s, in, believed);
            return new State(j.standing(), Math.min(set.slowStartWeight(), j.ceiling()), j.reason(), now, now, now, null, 0, believed,
                    j.impaired());
        }
        if (now - s.evaluatedAt() < set.intervalUs()) {
            return s;
        }
        return measured(s, judge(s, in, believed), believed, now);
    }

    private State measured(State s, Judgement j, boolean believed, long now) {
        AvailabilityStatus standing = s.status();
        AvailabilityStatus candidate = j.standing() == standing ? null : j.standing();
        int count = candidate == null ? 0 : candidate == s.candidate() ? s.candidateCount() + 1 : 1;
        long since = s.statusSince();
        int wanted = candidate != null && candidate.compareTo(standing) > 0 && candidate != AvailabilityStatus.READY
                ? set.fall() : set.rise();
        if (candidate != null && count >= wanted && now - since >= set.dwellUs()) {
            standing = candidate;
            since = now;
            candidate = null;
            count = 0;
        }
        long slow = now - s.servingSince();
        int ceiling = slow >= set.slowStartUs() ? j.ceiling()
                : (int) Math.min(j.ceiling(), set.slowStartWeight() + (FULL - set.slowStartWeight()) * slow / set.slowStartUs());
        int weight = s.weight() + Math.max(-set.stepDown(), Math.min(set.stepUp(), ceiling - s.weight()));
        if (!believed) {
            // steps smooth what is measured; that the list is not known to be right is no measurement
            weight = Math.min(weight, ceiling);
        }
        Judgement holds = standing == j.standing() ? j : new Judgement(standing, 0, s.impaired(), s.reason());
        return new State(standing, Math.max(1, weight), holds.reason(), since, now, s.servingSince(), candidate, count, believed,
                holds.impaired());
    }

    /** What needs no measuring, or null. The end of the process goes before an operator's word. */
    private static Judgement told(AvailabilitySignals in) {
        if (in.processPhase() == ProcessPhase.SHUT_DOWN) {
            return new Judgement(AvailabilityStatus.STOPPED, 0, true, "the process ends");
        }
        if (in.processPhase() == ProcessPhase.SHUTTING_DOWN) {
            return new Judgement(AvailabilityStatus.DRAINING, 0, true, "the process is to end");
        }
        if (in.requestedMode() == RequestedMode.MAINT) {
            return new Judgement(AvailabilityStatus.MAINT, 0, true, "an operator's word");
        }
        if (in.requestedMode() == RequestedMode.DRAIN) {
            return new Judgement(AvailabilityStatus.DRAINING, 0, true, "an operator's word");
        }
        return in.processPhase() == ProcessPhase.STARTING ? new Judgement(AvailabilityStatus.STARTING, 0, true, "no word from discovery yet") : null;
    }

    /** Enough attempts have come to workers, and few have missed one: the list is right, whatever its age. */
    private boolean proven(AvailabilitySignals in) {
        return in.attemptsReached() >= set.staleAttempts() && in.attemptsReached() >= BELIEVED * (in.attemptsReached() + in.attemptsUnreachable());
    }

    private Judgement judge(State s, AvailabilitySignals in, boolean believed) {
        Judgement load = load(s, in);
        if (!believed) {
            int attempts = in.attemptsReached() + in.attemptsUnreachable();
            double share = attempts == 0 ? 1 : (double) in.attemptsReached() / attempts;
            int weight = Math.max(1, (int) (set.staleWeight() * share));
            return new Judgement(AvailabilityStatus.STALE, Math.min(weight, load.ceiling()), true, in.attemptsUnreachable() > in.attemptsReached()
                    ? "the saved list is wrong: " + in.attemptsUnreachable() + " of " + attempts + " attempts found no worker"
                    : "the saved list is not confirmed");
        }
        if (load.standing() == AvailabilityStatus.OVERLOADED) {
            return load;
        }
        if (in.readyWorkers() == 0) {
            return new Judgement(AvailabilityStatus.DEGRADED, set.minWeight(), true, "no worker is ready");
        }
        if (in.discoverySilenceUs() >= set.discoverySilenceUs()) {
            // all dispatchers may have lost discovery: what is known still serves
            return new Judgement(AvailabilityStatus.DEGRADED, load.ceiling(), true, "discovery is silent");
        }
        return load;
    }

    /** The one measure that is nearest to its limit decides, as a multiple of that limit. */
    private Judgement load(State s, AvailabilitySignals in) {
        double most = 0;
        String what = "";
        double[] load = {in.rejectShare() / set.rejectShare(), in.refusingWorkerShare() / set.refusingWorkerShare(), in.waitMultiple() / set.waitMultiple(), (double) in.lagUs() / set.lagUs(),
            in.clientConnectionShare() / set.resourceShare(), in.descriptorShare() / set.resourceShare(), in.heapShare() / set.resourceShare()};
        String[] names = {"requests are rejected", "workers refuse", "workers are behind", "the loop lags", "places for clients run short",
            "descriptors run short", "memory runs short"};
        for (int i = 0; i < load.length; i++) {
            if (load[i] > most) {
                most = load[i];
                what = names[i];
            }
        }
        if (most >= (s.status() == AvailabilityStatus.OVERLOADED ? set.reliefFactor() : 1)) {
            return new Judgement(AvailabilityStatus.OVERLOADED, (int) Math.max(set.minWeight(), Math.min(FULL, FULL / most)), false, what);
        }
        return most >= set.reliefFactor() ? new Judgement(AvailabilityStatus.DEGRADED, FULL, false, what)
                : new Judgement(AvailabilityStatus.READY, FULL, false, "all is well");
    }
}
