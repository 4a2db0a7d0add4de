package granitefold.rollout;

import java.util.Locale;

/**
 * What was found of one figure: how much worse the new ones do than the old ones beside them.
 *
 * @param figure its name, with the class where it has one
 * @param harm the estimate, in the figure's unit; above 0 is worse
 * @param lower the interval's ends; the mean lies outside at any time with the probability that the margins name
 * @param margin what is borne
 * @param blocks values it rests on
 */
public record Finding(String figure, double harm, double lower, double upper, double margin, int blocks) {

    /** It is worse: by more than nothing for sure, and by half of what is borne at least as far as one can tell. */
    boolean worse() {
        return lower > 0 && harm >= margin / 2;
    }

    /** It is no worse than is borne, for sure. */
    boolean good() {
        return upper < margin;
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s: worse by %.4f (%.4f to %.4f, borne %.4f, %d values)", figure, harm, lower, upper, margin, blocks);
    }
}
