package granitefold.core;

/**
 * What the adapters measure of the process itself; shares lie in 0 .. 1.
 *
 * @param heapShare heap still in use after its last collection
 * @param descriptorShare descriptors taken of those allowed
 * @param cpuShare processor time used of that allowed
 * @param lagUs the most that the loop came late to a wake-up since the last sample, in microseconds
 */
public record ResourceUsage(double heapShare, double descriptorShare, double cpuShare, long lagUs) {
    static final ResourceUsage UNKNOWN = new ResourceUsage(0, 0, 0, 0);
}
