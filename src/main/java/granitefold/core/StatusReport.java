package granitefold.core;

import granitefold.availability.AvailabilityReport;
import granitefold.availability.RequestedMode;

/**
 * How the dispatcher stands, for balancers and operators.
 *
 * @param owed requests that have no final answer yet
 * @param clients client connections
 * @param readyWorkers workers that the list calls ready
 * @param downWorkers ready workers that look dead by probes or attempts
 * @param confirmed discovery has spoken since the start
 * @param listVersion the list's version
 * @param listAgeUs time since the list last changed or was confirmed
 * @param watchSilentUs how long the watch on discovery has said nothing
 * @param waitRatio estimated wait at the ready worker that is best off, in multiples of the tightest class's allowance
 * @param rejectShare requests rejected of those that were answered lately
 * @param answersPerSecond requests answered a second, lately
 * @param served requests served since the start, {@code rejected} and {@code failed} alike
 */
public record StatusReport(AvailabilityReport verdict, Phase phase, RequestedMode requestedMode, int owed, int clients, int readyWorkers, int downWorkers, boolean panic,
        boolean confirmed, long listVersion, long listAgeUs, long watchSilentUs, double waitRatio, double rejectShare, double answersPerSecond,
        ResourceUsage resources, long uptimeUs, long served, long rejected, long failed) { }
