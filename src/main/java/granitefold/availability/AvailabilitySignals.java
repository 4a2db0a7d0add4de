package granitefold.availability;

/**
 * What the machine is told, all of it at one moment. Shares lie in 0 .. 1, times are microseconds.
 *
 * @param confirmed discovery has spoken since the start
 * @param listAgeUs how long ago the list last changed or was confirmed
 * @param silentUs how long the watch on discovery has said nothing
 * @param readyWorkers workers that the list calls ready
 * @param reached attempts since the start that came to a worker
 * @param missed attempts since the start whose worker could not be reached
 * @param rejectShare requests rejected of those that were answered lately
 * @param fullShare ready workers that lately refused
 * @param waits estimated wait at the ready worker that is best off, in multiples of the tightest class's allowance
 * @param clientShare places for client connections that are taken
 * @param descriptorShare descriptors that are taken
 * @param heapShare heap that is still in use after its last collection
 * @param lagUs how late the loop came to its work
 * @param sinceStartUs time since the process began
 */
public record AvailabilitySignals(ProcessPhase processPhase, RequestedMode requestedMode, boolean listConfirmed, long listAgeUs, long discoverySilenceUs, int readyWorkers,
        int attemptsReached, int attemptsUnreachable, double rejectShare, double refusingWorkerShare, double waitMultiple, double clientConnectionShare, double descriptorShare,
        double heapShare, long lagUs, long sinceStartUs) { }
