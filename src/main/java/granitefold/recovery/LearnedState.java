package granitefold.recovery;

import java.util.List;

/**
 * What a dispatcher has learned, as of {@code at} (Unix time in microseconds). Tenants and kinds are given as indices in
 * the settings; the stored form holds their names as well. The operator's state commands print the components under their
 * names.
 *
 * @param fetchUs duration of a fetch
 * @param kept number of keys that a worker keeps
 * @param meanWork mean of the work hints, in microseconds
 * @param works number of work hints behind {@code meanWork}
 */
public record LearnedState(long at, double fetchUs, double kept, double meanWork, long works, List<Kind> kinds, List<Worker> workers,
        List<Bucket> buckets, List<Key> keys) {

    /**
     * The speed of a kind of worker, in the form that the dispatch policy keeps it in.
     *
     * @param sum sum of the logarithms of the measured speeds
     * @param weight weight of the sum, in jobs
     * @param slots slots of a worker, 0 if unknown
     */
    public record Kind(int kind, double sum, double weight, int slots) { }

    /**
     * A worker. Times are Unix microseconds, 0 for never.
     *
     * @param startedAt when the worker last started, according to the list
     * @param lostAt when a connection to it last failed
     * @param work work sent to it during its slow start, within the period of that rule before {@code at}
     * @param kept keys sent to it, the last one first
     */
    public record Worker(long id, int kind, long startedAt, long lostAt, double sum, double weight, int slots, double work,
            List<Long> kept) { }

    /** The bucket of a tenant: the use by each dispatcher, and the credit as of {@code refilledAt}. */
    public record Bucket(int tenant, List<Long> used, double credited, long refilledAt) { }

    /** A keyed request that may have run; no other attempt with its key is allowed before {@code until}. */
    public record Key(long key, long until) { }
}
