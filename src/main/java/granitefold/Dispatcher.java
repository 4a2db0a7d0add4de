package granitefold;

import granitefold.recovery.LearnedState;
import java.util.List;

/**
 * The decision logic of one dispatcher. Its host passes events in through the methods below and receives decisions as
 * calls on an {@link Actions} sink, always during an event. Times are microseconds on one monotonic clock. An absent
 * value is 0 where 0 cannot be a value, else negative or {@code NaN} as noted. An implementation does no I/O, reads no
 * clock and is not thread-safe: call it from one thread at a time.
 */
public interface Dispatcher {

    /** Effect of repeating a job: harmless, deduplicated for a while by the workers of one group, or harmful. */
    enum Effect { SAFE, KEYED, UNSAFE }

    /** The group of workers that deduplicate repeats of a KEYED job among them. */
    enum Group { ALL, ZONE, CELL }

    /** State of a worker in the list. */
    enum State { READY, DRAINING, GONE }

    /** Kind of a list update: changes, the whole list, the list saved by a previous process, or a failed call. */
    enum ListUpdate { CHANGES, WHOLE, SAVED, FAILED }

    /** How an attempt ended. */
    enum Outcome {
        SERVED(false), ERROR(false), FULL(true), TIMED_OUT(false), UNREACHABLE(true), BROKEN(false),
        CANCELLED(false), MOOT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Returns whether this outcome proves that the attempt never ran. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /**
     * A class of jobs. An answer is on time within {@code onTimeUs} plus {@code stretch} times the job's own work;
     * {@code dedupWindowUs} is how long a KEYED job's group remembers it, from the first send that may have run;
     * {@code kind} is the only kind of worker that runs it, or -1; {@code worth} is the value of an answer on time,
     * {@code lateWorth} that of a late one.
     */
    record JobClass(Effect effect, Group group, long dedupWindowUs, long onTimeUs, long deadlineUs, double stretch,
            int kind, double worth, double lateWorth) { }

    /** A tenant: its share of the service, and that share in jobs per second over all dispatchers. */
    record Tenant(double share, double quotaPerS) { }

    /**
     * What the site permits. {@code maxAttempts} counts all attempts of a request; {@code siblingMessages} permits
     * messages to other dispatchers.
     */
    record Limits(int maxAttempts, boolean secondCopies, boolean cancel, boolean siblingMessages, boolean retryAfter,
            long maxRetryAfterUs) { }

    /**
     * Parameters of the rules. A worker starts with at least the share {@code slowStartFrom} of its capacity and has
     * all of it after {@code slowStartUs}; until then it fails if sent more than {@code overloadMultiple} times its
     * present capacity within {@code overloadWindowUs}. A dispatcher that has not watched the list for
     * {@code askWithinUs} counts as notified of its changes.
     */
    record Rules(long drainGraceUs, long graceToAnswerUs, double slowStartFrom, long slowStartUs,
            double overloadMultiple, long overloadWindowUs, long askWithinUs) { }

    /**
     * Costs, as a share of a mean request's worth, of each attempt that crosses zones and of each new connection. A
     * connection carries one attempt at a time and closes when idle for {@code idleUs}.
     */
    record Prices(double crossZone, double handshake, long idleUs) { }

    /**
     * The configuration of an instance. {@code selfIndex} is its number among {@code siblings} dispatchers, itself
     * included; {@code mustWatch}: list updates arrive only after {@link Actions#watch}; {@code tellsStart}: workers
     * report the start of a job; {@code progressUs}: interval of their progress notes, 0 for none; {@code tickUs}: the
     * host's time step.
     */
    record Settings(List<JobClass> classes, List<Tenant> tenants, int selfIndex, int siblings, int zone,
            boolean mustWatch, boolean tellsStart, long progressUs, long tickUs, Limits limits, Rules rules,
            Prices prices) { }

    /** A worker in the list; {@code startedAtUs} is 0 for long ago, {@code size} is a relative capacity. */
    record Worker(long id, double size, State state, long startedAtUs, int zone, int cell, int kind) { }

    /**
     * A client's request: a job of {@code workUs} (hinted time on one core of speed 1, 0 without a hint) that takes
     * {@code slots} slots while it runs. The id is unique and within 0 .. 2^58. Jobs of one {@code key} (0: none) need
     * the same data, which a worker keeps for a while and must fetch otherwise.
     */
    record Request(long id, int jobClass, int tenant, long timeLeftUs, double workUs, int slots, int memory,
            long key) { }

    /** A worker's load report, delayed and noisy; a value that it does not contain is NaN. */
    record Report(double held, double queued, double busy, double latencyUs, double ratePerS, double freeSlots,
            double freeMemory) { }

    /** Starts the instance; a list update of kind SAVED follows. */
    void start(long now);

    /** The worker list was updated. WHOLE and SAVED replace what was known; FAILED comes without entries. */
    void listUpdated(long now, ListUpdate update, List<Worker> entries);

    /** A request has arrived. It must get exactly one final answer. */
    void requested(long now, Request request);

    /** The job of an attempt has started to run. */
    void started(long now, long request, int attempt);

    /** The job of an attempt has done {@code share} of its work. */
    void progressed(long now, long request, int attempt, double share);

    /** An attempt has ended; {@code over}: the request needs no answer any more; {@code report} may be null. */
    void ended(long now, long request, int attempt, boolean over, Outcome outcome, Report report);

    /** The client has gone: the request needs no answer any more. */
    void expired(long now, long request);

    /** A timer has expired. */
    void elapsed(long now, long token);

    /** A message from another dispatcher has arrived; its content is untrusted. */
    void messageReceived(long now, int from, byte[] message);

    /**
     * Estimated load on the workers: the number of ready workers, how many of them recently refused a job or failed at
     * once, the shortest wait on any of them, and the on-time allowance of the tightest class.
     */
    record Pressure(int ready, int refusing, double waitUs, double boundUs) { }

    /** Returns the estimated load on the workers. */
    Pressure pressure(long now);

    /** Workers in the list, and those of them avoided while others have room: draining or suspected outliers. */
    record WorkerCounts(int listed, int avoided) { }

    /** Returns the present numbers of workers. */
    WorkerCounts workerCounts(long now);

    /**
     * Another process of this instance serves from now on and takes over the slow-start budgets: the requests left
     * here go to no worker in slow start.
     */
    void superseded();

    /** Returns what was learned and is worth keeping across a restart. */
    LearnedState learned(long now);

    /** Adds what a previous process learned, aged to now, to what was learned since the start. */
    void restore(long now, LearnedState previous);

    /** Reason for refusing a request. */
    enum Refusal {
        /** No worker is expected to finish it in time. */
        HOPELESS,
        /** Its tenant has exhausted its quota while the fleet is overloaded. */
        QUOTA,
        /** No worker may take it, or take it again, in the time left. */
        NO_WORKER,
        /** Its deadline has passed, and no attempt has run. */
        TIME,
        /** The limit of concurrent requests is reached. */
        LIMIT,
        /** The process is shutting down. */
        ENDING,
        /** A previous process may have sent it, and a repeat would not be deduplicated yet. */
        FORMER_PROCESS
    }

    /** The decisions. Attempts of a request are numbered 0, 1, 2 ... in the order of the calls of {@link #send}. */
    interface Actions {
        /**
         * Sends a request to a worker and waits at most {@code waitUs} (0: until the client gives up). It must not be
         * sent later than {@code startUs} from now: an earlier attempt may have run, and repeats are no longer
         * deduplicated after that.
         */
        void send(long request, long worker, long waitUs, long startUs);

        /** Stops waiting for an attempt. */
        void cancel(long request, int attempt);

        /** Final answer: refused. A retry is harmless, best after {@code retryAfterUs} (0: no advice). */
        void refuse(long request, long retryAfterUs, Refusal why);

        /** Final answer: failed. The job may or may not have run. */
        void fail(long request);

        /** Requests a call of {@link Dispatcher#elapsed} after a delay. */
        void timer(long afterUs, long token);

        /** Sends a message of at most 256 bytes to one other dispatcher. */
        void sendToSibling(int sibling, byte[] message);

        /** Requests list updates from now on. */
        void watch();
    }
}
