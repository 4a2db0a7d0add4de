package granitefold.standin.model;

/**
 * The result of one simulation.
 *
 * @param starvedS per dispatcher, the longest time without an attempt in which it rejected enough requests to count, in seconds
 * @param worthServed share of the total worth of all requests that was served on time
 * @param lateShare share of attempts that were served after the on-time deadline and earned no worth
 */
record FleetResult(double[] starvedS, double worthServed, double lateShare) { }
