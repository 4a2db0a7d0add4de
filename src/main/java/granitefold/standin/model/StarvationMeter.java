package granitefold.standin.model;

/** Measures the longest time in which a dispatcher rejected all requests, if they were enough to count. */
final class StarvationMeter {
    /** Spans with fewer rejections do not count, as in the regression test for starvation. */
    private static final int MIN_REFUSALS = 15;

    private long sinceUs;
    private long longestUs;
    private int refusals;

    StarvationMeter(long nowUs) {
        sinceUs = nowUs;
    }

    void refused() {
        refusals++;
    }

    /** Ends the current span: an attempt was sent, or the run ends. */
    void ended(long nowUs) {
        if (refusals >= MIN_REFUSALS) {
            longestUs = Math.max(longestUs, nowUs - sinceUs);
        }
        refusals = 0;
        sinceUs = nowUs;
    }

    double longestS() {
        return longestUs / 1e6;
    }
}
