package granitefold.rollout;

import java.util.Locale;

/**
 * Result for one metric of a {@link Comparison}: how much worse the new version is than the old one. The probability that the interval
 * of any metric ever excludes the mean is at most {@link Margins#alpha}.
 *
 * @param metric name of the metric, followed by the job class if it is per class
 * @param degradation estimate in the metric's unit; positive is worse
 * @param lower lower end of the confidence sequence
 * @param upper upper end of the confidence sequence
 * @param margin allowed degradation
 * @param blocks number of values compared
 */
public record MetricResult(String metric, double degradation, double lower, double upper, double margin, int blocks) {

    /** Returns whether the metric is significantly worse and the estimate is at least half the margin. */
    boolean worse() {
        return lower > 0 && degradation >= margin / 2;
    }

    /** Returns whether the metric is significantly within its margin. */
    boolean good() {
        return upper < margin;
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s: worse by %.4f (%.4f to %.4f, borne %.4f, %d values)", metric, degradation, lower, upper,
                margin, blocks);
    }
}
