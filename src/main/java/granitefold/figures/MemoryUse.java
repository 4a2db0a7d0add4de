package granitefold.figures;

/**
 * What remote ends make a process hold, in bytes of heap.
 *
 * @param requests heads, bodies and read-ahead input of requests
 * @param answers answers that are being written
 * @param responseLines incomplete lines of workers' responses
 * @param workerLists lists of discovery that are being received
 * @param peak the most held at once since the start of the process
 * @param limit the total from which on requests are rejected
 * @param refused how often something did not fit, a count since the start of the process
 */
public record MemoryUse(long requests, long answers, long responseLines, long workerLists, long peak, long limit, long refused) {
    /** Of a process that holds nothing. */
    public static final MemoryUse NONE = new MemoryUse(0, 0, 0, 0, 0, 0, 0);
}
