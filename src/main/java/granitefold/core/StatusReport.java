package granitefold.core;

import granitefold.availability.AvailabilityReport;
import granitefold.availability.RequestedMode;

/**
 * The status of the dispatcher, for balancers and operators.
 *
 * @param owed requests that have no final answer yet
 * @param clients client connections
 * @param readyWorkers workers that are ready by the list
 * @param downWorkers ready workers considered down by probes or attempts
 * @param confirmed whether discovery has sent a message since the start
 * @param listVersion version of the worker list
 * @param listAgeUs time since the list last changed or was confirmed
 * @param watchSilentUs time since the last message of discovery
 * @param waitRatio estimated wait at the least loaded ready worker, as a multiple of the strictest class's allowance
 * @param rejectShare share of recent answers that were rejects
 * @param answersPerSecond recent rate of answers
 * @param served requests served since the start; likewise {@code rejected} and {@code failed}
 */
public record StatusReport(AvailabilityReport availability, Phase phase, RequestedMode requestedMode, int owed, int clients,
        int readyWorkers, int downWorkers, boolean panic, boolean confirmed, long listVersion, long listAgeUs, long watchSilentUs,
        double waitRatio, double rejectShare, double answersPerSecond, ResourceUsage resources, long uptimeUs, long served,
        long rejected, long failed) { }
