package granitefold;

/**
 * How much faster than hinted jobs run, as a mean of logarithms: each counts alike, since hints are off
 * by a factor and a few heavy jobs would drown the rest. The older the fainter: speeds change.
 */
final class Speed {
    private final double memory;
    private double sum;
    private double count;

    Speed(double memory) {
        this.memory = memory;
    }

    void add(double log) {
        sum = sum * memory + log;
        count = count * memory + 1;
    }

    double sum() {
        return sum;
    }

    double weight() {
        return count;
    }

    /** Takes in what was learned in a former life, with the weight that it still has. */
    void restore(double formerSum, double formerWeight) {
        sum += formerSum;
        count += formerWeight;
    }

    /** The logarithm of the speed, leaning on a prior worth so many jobs. */
    double log(double prior, double jobs) {
        return (sum + prior * jobs) / (count + jobs);
    }
}
