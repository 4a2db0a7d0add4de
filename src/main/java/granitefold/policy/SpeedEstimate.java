package granitefold.policy;

/**
 * How much faster than hinted jobs run, as a decaying mean of logarithms. Logarithms weigh all jobs alike:
 * hints are off by a factor, and a few heavy jobs would otherwise dominate the mean. Older jobs count less,
 * since speeds change.
 */
final class SpeedEstimate {
    private final double decay;
    double sum;
    double count;

    SpeedEstimate(double decay) {
        this.decay = decay;
    }

    void add(double logSpeed) {
        sum = sum * decay + logSpeed;
        count = count * decay + 1;
    }

    /** Returns the logarithm of the speed, with a prior that weighs as much as {@code priorJobs} jobs. */
    double logSpeed(double prior, double priorJobs) {
        return (sum + prior * priorJobs) / (count + priorJobs);
    }
}
