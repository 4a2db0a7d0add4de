package granitefold.core;

/**
 * Resource usage of the process, as sampled by the adapters; shares are between 0 and 1.
 *
 * @param heapShare share of the heap in use after the last garbage collection
 * @param descriptorShare share of the allowed descriptors in use
 * @param cpuShare share of the allowed processor time used
 * @param lagUs the longest delay of a wake-up of the event loop since the last sample, in microseconds
 */
public record ResourceUsage(double heapShare, double descriptorShare, double cpuShare, long lagUs) {
    static final ResourceUsage UNKNOWN = new ResourceUsage(0, 0, 0, 0);
}
