package granitefold.rollout;

/**
 * Confidence interval for the mean of a stream that covers the mean at all times simultaneously with a given probability, so that it may
 * be evaluated after every value and acted on at any time. Robbins' normal mixture with the sample variance: the asymptotic
 * confidence sequence of Waudby-Smith, Arbour, Sinha, Kennedy and Ramdas, "Time-uniform central limit theory and asymptotic
 * confidence sequences" (2021), theorem 2.2. The values must be nearly independent, and each must be a
 * mean over several answers: single answers of a rare outcome have no sample variance yet when the first interval is computed.
 */
public final class ConfidenceSequence {
    /** Number of values below which the sample variance is not meaningful. */
    public static final int MIN_VALUES = 10;

    private final double alpha;
    /** Squared scale of the mixture, for which the interval is tightest at {@code tightestAt} values. */
    private final double rho2;
    private int n;
    private double mean;
    private double squaredDeviations;
    private double minVarianceSum;

    /**
     * @param alpha probability that the interval ever excludes the mean
     * @param tightestAt number of values at which the interval is tightest
     */
    public ConfidenceSequence(double alpha, int tightestAt) {
        this.alpha = alpha;
        double l = -2 * Math.log(alpha);
        rho2 = (l + Math.log(l) + 1) / tightestAt;
    }

    /** Adds a value; {@code minVariance}: its sampling variance, a lower bound because a stream without variation so far may still vary. */
    public void add(double value, double minVariance) {
        n++;
        double d = value - mean;
        mean += d / n;
        squaredDeviations += d * (value - mean);
        minVarianceSum += minVariance;
    }

    public int count() {
        return n;
    }

    public double mean() {
        return mean;
    }

    /** Returns the half-width of the interval; infinite below {@link #MIN_VALUES} values. */
    public double halfWidth() {
        if (n < MIN_VALUES) {
            return Double.POSITIVE_INFINITY;
        }
        // corrects the sample variance for few values: it is often too low, and the theorem is asymptotic
        double variance = Math.max(squaredDeviations / (n - 1) * (1 + 2.0 / n), minVarianceSum / n);
        double t = n * rho2 + 1;
        return Math.sqrt(variance * t / ((double) n * n * rho2) * Math.log(t / (alpha * alpha)));
    }

    public double lower() {
        return mean - halfWidth();
    }

    public double upper() {
        return mean + halfWidth();
    }
}
