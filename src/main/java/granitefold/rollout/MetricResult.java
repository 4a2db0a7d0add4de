package granitefold.rollout;

import java.util.Locale;

/**
 * What was found of one metric: how much worse the new ones do than the old ones beside them.
 *
 * @param metric its name, with the class where it has one
 * @param degradation the estimate, in the metric's unit; above 0 is worse
 * @param lower the interval's ends; the mean lies outside at any time with the probability that the margins name
 * @param margin what is borne
 * @param blocks values it rests on
 */
public record MetricResult(String metric, double degradation, double lower, double upper, double margin, int blocks) {

    /** It is worse: by more than nothing for sure, and by half of what is borne at least as far as one can tell. */
    boolean worse() {
        return lower > 0 && degradation >= margin / 2;
    }

    /** It is no worse than is borne, for sure. */
    boolean good() {
        return upper < margin;
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s: worse by %.4f (%.4f to %.4f, borne %.4f, %d values)", metric, degradation, lower, upper, margin, blocks);
    }
}
