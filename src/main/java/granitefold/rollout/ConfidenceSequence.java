package granitefold.rollout;

/**
 * An interval for the mean of a stream that holds at all times together with a given probability, so that it may be looked at after
 * every value and acted on at any time. Robbins' normal mixture with the variance so far in place of the true one: the asymptotic
 * confidence sequence of Waudby-Smith, Arbour, Sinha, Kennedy and Ramdas, "Time-uniform central limit theory and asymptotic
 * confidence sequences" (2021), theorem 2.2. The values must not be far from independent, and each be a
 * mean of some answers: single ones of a rare kind have no variance yet when the first interval is made.
 */
public final class ConfidenceSequence {
    /** Values without which the variance so far says nothing. */
    public static final int MIN_VALUES = 10;

    private final double alpha;
    /** Scale of the mixture: the interval is tightest about the number of values that it was made for. */
    private final double rho2;
    private int n;
    private double mean;
    private double squares;
    private double floors;

    /**
     * @param alpha probability that the interval ever leaves the mean out
     * @param tightestAt number of values at which it is to be tightest
     */
    public ConfidenceSequence(double alpha, int tightestAt) {
        this.alpha = alpha;
        double l = -2 * Math.log(alpha);
        rho2 = (l + Math.log(l) + 1) / tightestAt;
    }

    /** Another value; {@code minVariance}: what chance alone gives it, since a stream that never varied yet may do so next. */
    public void add(double value, double minVariance) {
        n++;
        double d = value - mean;
        mean += d / n;
        squares += d * (value - mean);
        floors += minVariance;
    }

    public int count() {
        return n;
    }

    public double mean() {
        return mean;
    }

    /** How far to either side of the mean it reaches; infinite while there are too few values. */
    public double halfWidth() {
        if (n < MIN_VALUES) {
            return Double.POSITIVE_INFINITY;
        }
        // a few values understate their variance about as often as not, and the theorem holds for many
        double variance = Math.max(squares / (n - 1) * (1 + 2.0 / n), floors / n);
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
