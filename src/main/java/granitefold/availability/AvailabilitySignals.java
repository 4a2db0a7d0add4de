package granitefold.availability;

/**
 * The inputs of one evaluation, all taken at the same moment. Shares are between 0 and 1, times are in microseconds.
 *
 * @param listConfirmed whether discovery has sent anything since the start
 * @param listAgeUs time since the worker list was last changed or confirmed
 * @param discoverySilenceUs time since the watch on discovery last received anything
 * @param readyWorkers number of workers that the list marks as ready
 * @param attemptsReached attempts since the start that reached a worker
 * @param attemptsUnreachable attempts since the start whose worker was unreachable
 * @param rejectShare recent rejections among the recent answers
 * @param refusingWorkerShare ready workers that recently refused a job
 * @param waitMultiple estimated wait at the least loaded ready worker, as a multiple of the tightest allowance of a job class
 * @param clientConnectionShare client connections in use
 * @param descriptorShare descriptors in use
 * @param heapShare heap in use after its last garbage collection
 * @param lagUs lag of the event loop
 * @param sinceStartUs time since the start of the process
 */
public record AvailabilitySignals(ProcessPhase processPhase, RequestedMode requestedMode, boolean listConfirmed, long listAgeUs,
        long discoverySilenceUs, int readyWorkers, int attemptsReached, int attemptsUnreachable, double rejectShare,
        double refusingWorkerShare, double waitMultiple, double clientConnectionShare, double descriptorShare, double heapShare,
        long lagUs, long sinceStartUs) { }
