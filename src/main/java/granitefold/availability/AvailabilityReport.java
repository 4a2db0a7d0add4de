package granitefold.availability;

/**
 * The availability that balancers are told.
 *
 * @param weightPercent share of its configured weight that this dispatcher should get (0 .. 100)
 * @param maxConnections limit of client connections that balancers should open to it
 * @param impaired whether there is a problem other than load, so that other dispatchers should be preferred while there are any
 * @param reason the reason in a few words of printable ASCII
 */
public record AvailabilityReport(AvailabilityStatus status, int weightPercent, int maxConnections, boolean impaired, String reason) { }
