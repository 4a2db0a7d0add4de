package granitefold.core;

import granitefold.availability.AvailabilityReport;
import granitefold.availability.RequestedMode;

/**
 * How the dispatcher stands, for balancers and operators.
 *
 * @param owed requests that have no final answer yet
 * @param clients client connections
 * @param ready workers that the list calls ready
 * @param down ready workers that look dead by probes or attempts
 * @param confirmed discovery has spoken since the start
 * @param listVersion the list's version
 * @param listAgeUs time since the list last changed or was confirmed
 * @param silentUs how long the watch on discovery has said nothing
 * @param waits estimated wait at the ready worker that is best off, in multiples of the tightest class's allowance
 * @param rejectShare requests rejected of those that were answered lately
 * @param perS requests answered a second, lately
 * @param served requests served since the start, {@code rejected} and {@code failed} alike
 */
public record Report(AvailabilityReport verdict, Phase phase, RequestedMode wish, int owed, int clients, int ready, int down, boolean panic,
        boolean confirmed, long listVersion, long listAgeUs, long silentUs, double waits, double rejectShare, double perS,
        Resources resources, long sinceStartUs, long served, long rejected, long failed) { }
