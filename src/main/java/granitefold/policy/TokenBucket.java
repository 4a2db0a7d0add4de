package granitefold.policy;

/**
 * A tenant's token bucket as a mergeable, grow-only value: one usage counter per dispatcher, and the credit
 * granted so far.
 */
final class TokenBucket {
    final double ratePerS;
    final double capacity;
    final long[] used;
    /** Counters that changed since they were last sent to a sibling. */
    final boolean[] dirty;
    long usedSinceStart;
    long totalUsed;
    double credited;
    long refilledAt;

    TokenBucket(double ratePerS, double capacity, int owners, long now) {
        this.ratePerS = ratePerS;
        this.capacity = capacity;
        used = new long[owners];
        dirty = new boolean[owners];
        credited = capacity;
        refilledAt = now;
    }

    void refill(long now) {
        double elapsedS = Math.max(0, now - refilledAt) / 1e6;
        credited = Math.max(credited, Math.min(credited + ratePerS * elapsedS, totalUsed + capacity));
        refilledAt = Math.max(refilledAt, now);
    }

    double available() {
        return credited - totalUsed;
    }

    void use(int owner, int tokens) {
        usedSinceStart += tokens;
        raise(owner, used[owner] + tokens);
    }

    /** Takes the larger of each counter and credit; returns whether the counter grew. */
    boolean merge(int owner, long count, double credit) {
        credited = Math.max(credited, credit);
        return count > used[owner] && raise(owner, count);
    }

    private boolean raise(int owner, long count) {
        totalUsed += count - used[owner];
        used[owner] = count;
        dirty[owner] = true;
        return true;
    }
}
