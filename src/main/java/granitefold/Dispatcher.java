package granitefold;

import granitefold.recovery.LearnedState;
import java.util.List;

/**
 * One dispatcher, as its host sees it: events go in through the methods below, decisions come out as calls on
 * an {@link Actions} sink, always from within an event. Times are long microseconds on one clock that never
 * goes back; whatever is absent is 0 where that cannot be a value, else negative or {@code NaN} as noted.
 * An implementation does no I/O, reads no clock and is not thread-safe: call it from one thread at a time.
 */
public interface Dispatcher {

    /** What a repeat of a job does: no harm, dropped by the workers of one group for a while, or real harm. */
    enum Effect { SAFE, KEYED, UNSAFE }

    /** Which workers drop each other's repeats of a KEYED job. */
    enum Group { ALL, ZONE, CELL }

    /** Where a worker stands in the list. */
    enum State { READY, DRAINING, GONE }

    /** What a piece of list news is: changes, the whole list, the list of a former life, or a failed call. */
    enum ListUpdate { CHANGES, WHOLE, SAVED, FAILED }

    /** How an attempt ended. */
    enum Outcome {
        SERVED(false), ERROR(false), FULL(true), TIMED_OUT(false), UNREACHABLE(true), BROKEN(false),
        CANCELLED(false), MOOT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether this outcome proves that the attempt never ran. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /**
     * A class of jobs. An answer is on time within {@code onTimeUs} plus {@code stretch} times the job's own
     * work; {@code dedupWindowUs} is how long a KEYED job's group remembers it, from the first send that may have run;
     * {@code kind} is the only kind of worker that runs it, or -1.
     */
    record JobClass(Effect effect, Group group, long dedupWindowUs, long onTimeUs, long deadlineUs, double stretch,
            int kind, double worth, double lateWorth) { }

    /** A tenant: its share of the service and what that is in jobs a second, over all dispatchers. */
    record Tenant(double share, double quotaPerS) { }

    /** What the site allows. {@code maxAttempts} counts all attempts of a request. */
    record Limits(int maxAttempts, boolean secondCopies, boolean cancel, boolean siblingMessages, boolean retryAfter,
            long maxRetryAfterUs) { }

    /**
     * The figures of the rules. A worker starts at {@code slowStartFrom} of its capacity or more and is warm after
     * {@code slowStartUs}; it falls over when sent more than {@code overloadMultiple} times its present capacity for
     * {@code overloadWindowUs}. {@code askWithinUs}: a dispatcher that has not asked for that long counts as told.
     */
    record Rules(long drainGraceUs, long graceToAnswerUs, double slowStartFrom, long slowStartUs, double overloadMultiple,
            long overloadWindowUs, long askWithinUs) { }

    /**
     * What is taken off the result, as a share of a mean request's worth: for each attempt that crosses zones, for
     * each new connection. A connection carries one attempt at a time and closes when idle for {@code idleUs}.
     */
    record Prices(double crossZone, double handshake, long idleUs) { }

    /**
     * All that an instance is told at its start. {@code selfIndex} is its number among {@code siblings} dispatchers;
     * {@code mustWatch}: list news comes only after {@link Actions#watch}; {@code tickUs}: the host's time step.
     */
    record Settings(List<JobClass> classes, List<Tenant> tenants, int selfIndex, int siblings, int zone,
            boolean mustWatch, boolean tellsStart, long progressUs, long tickUs, Limits limits, Rules rules,
            Prices prices) { }

    /** A worker in the list; {@code startedAtUs} is 0 for long ago, {@code size} has no unit. */
    record Worker(long id, double size, State state, long startedAtUs, int zone, int cell, int kind) { }

    /**
     * A client's request: a job of {@code workUs} (hinted time on one core of speed 1, 0 if untold) that takes
     * {@code slots} slots while it runs. The id lies in 0 .. 2^58 and never comes twice. Jobs of one {@code key}
     * (0: none) need the same thing, which a worker keeps for a while and else must fetch first.
     */
    record Request(long id, int jobClass, int tenant, long timeLeftUs, double workUs, int slots, int memory,
            long key) { }

    /** A worker's report, delayed and noisy; a value it does not carry is NaN. */
    record Report(double held, double queued, double busy, double latencyUs, double ratePerS, double freeSlots,
            double freeMemory) { }

    /** The instance begins; list news of kind SAVED follows. */
    void start(long now);

    /** News of the list. WHOLE and SAVED replace what was known; for FAILED there are no entries. */
    void listUpdated(long now, ListUpdate news, List<Worker> entries);

    /** A request has landed and is owed exactly one final answer. */
    void requested(long now, Request request);

    /** An attempt's job has started to run. */
    void started(long now, long request, int attempt);

    /** An attempt's job has done {@code share} of its work. */
    void progressed(long now, long request, int attempt, double share);

    /** An attempt has ended; {@code over} says that nothing is owed for the request; {@code report} may be null. */
    void ended(long now, long request, int attempt, boolean over, Outcome outcome, Report report);

    /** The client has gone: nothing is owed for the request. */
    void expired(long now, long request);

    /** A timer has run out. */
    void elapsed(long now, long token);

    /** A message from another dispatcher; it may be anything at all. */
    void messageReceived(long now, int from, byte[] message);

    /**
     * What the module takes to be owed against what workers can do: {@code ready} workers, {@code refusing} of them that
     * lately refused, the time before a job would start at the one that is best off, and the tightest class's allowance.
     */
    record Pressure(int ready, int refusing, double waitUs, double boundUs) { }

    /** How hard pressed the module takes its workers to be. */
    Pressure pressure(long now);

    /** Workers in the list, and of them those that get no job while others have room: told to drain, or suspect. */
    record WorkerCounts(int listed, int avoided) { }

    /** What {@link WorkerCounts} says, as of now. */
    WorkerCounts workerCounts(long now);

    /** Another process of this instance serves from now on: what is left here leaves the cold budgets to it. */
    void superseded();

    /** What was learned and is worth keeping past this life. */
    LearnedState learned(long now);

    /** Takes in what a former life learned, aged to now; what was learned since the start counts on. */
    void restore(long now, LearnedState former);

    /** Why a request is refused. */
    enum Refusal {
        /** No worker is expected to be done with it in time. */
        HOPELESS,
        /** Its tenant has used up its quota while the fleet is under strain. */
        QUOTA,
        /** No worker may take it, or take it once more, in the time that is left. */
        NO_WORKER,
        /** Its time is over, and nothing of it has run. */
        TIME,
        /** As many requests are in hand as the limits allow. */
        LIMIT,
        /** The process ends. */
        ENDING,
        /** A former process may have sent it, and a repeat would not be dropped yet. */
        FORMER_PROCESS
    }

    /** The decisions. Attempts of a request are numbered 0, 1, 2 ... in the order of {@link #send}. */
    interface Actions {
        /**
         * Send a request to a worker and wait at most {@code waitUs} (0: until the client gives up). Unless it is on its way within
         * {@code startUs} it must not be sent: an earlier attempt may have run, and repeats are no longer dropped from then on.
         */
        void send(long request, long worker, long waitUs, long startUs);

        /** Stop waiting for an attempt. */
        void cancel(long request, int attempt);

        /** Final answer: refused; trying again does no harm, best after {@code retryAfterUs} (0: no advice). */
        void refuse(long request, long retryAfterUs, Refusal why);

        /** Final answer: failed; promises nothing. */
        void fail(long request);

        /** Ask for {@link Dispatcher#elapsed} after a while. */
        void timer(long afterUs, long token);

        /** Send a message of at most 256 bytes to one other dispatcher. */
        void sendToSibling(int sibling, byte[] message);

        /** Ask for list news from now on. */
        void watch();
    }
}
