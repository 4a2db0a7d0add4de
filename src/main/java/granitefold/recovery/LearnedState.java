package granitefold.recovery;

import java.util.List;

/**
 * What a dispatcher has learned, as of {@code at} (Unix time, microseconds). Places in the settings (tenant, kind) stand
 * for their names, which whoever stores this stores beside it.
 *
 * @param fetchUs time that a fetch takes, {@code kept}: keys that a worker keeps
 * @param meanWork mean hinted work in microseconds, {@code works}: hints that it was learned from
 */
public record LearnedState(long at, double fetchUs, double kept, double meanWork, long works, List<Kind> kinds, List<Worker> workers,
        List<Bucket> buckets, List<Key> keys) {

    /** Speed as {@code Speed} holds it: a sum of logarithms and its weight in jobs; {@code slots}: 0 while unknown. */
    public record Kind(int kind, double sum, double weight, int slots) { }

    /**
     * A worker. {@code startedAt}: when it last started, as listed; {@code lostAt}: last failed connection; {@code work}:
     * what was sent to it while it was cold, within the rule's span before {@code at}; {@code kept}: keys sent there, the
     * last one first. Times are Unix microseconds, 0 for never.
     */
    public record Worker(long id, int kind, long startedAt, long lostAt, double sum, double weight, int slots, double work,
            List<Long> kept) { }

    /** A tenant's bucket: each dispatcher's use, and the credit up to {@code refilledAt}. */
    public record Bucket(int tenant, List<Long> used, double credited, long refilledAt) { }

    /** A keyed request that may have run: no other attempt of its key before {@code until}. */
    public record Key(long key, long until) { }
}
