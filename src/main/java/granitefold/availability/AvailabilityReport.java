package granitefold.availability;

/**
 * What balancers are told.
 *
 * @param weight traffic that this dispatcher should get, in percent of its configured weight (0 .. 100)
 * @param connections client connections that it should be given at the most
 * @param impaired something other than load is amiss: others should be preferred while there are any
 * @param reason why, in a few words of printable ASCII
 */
public record AvailabilityReport(AvailabilityStatus status, int weightPercent, int maxConnections, boolean impaired, String reason) { }
