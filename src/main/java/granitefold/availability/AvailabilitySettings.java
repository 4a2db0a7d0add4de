package granitefold.availability;

/**
 * Settings of the availability state machine; the operator can set all of them.
 *
 * @param intervalUs shortest time between two evaluations that count
 * @param rise evaluations in a row that are required for a better status
 * @param fall evaluations in a row that are required for a worse status
 * @param dwellUs shortest time that a measured status lasts
 * @param stepUp largest increase of the weight per evaluation, in percentage points
 * @param stepDown largest decrease of the weight per evaluation, in percentage points
 * @param minWeight lowest weight under overload; above 0, so that a fleet that is overloaded as a whole still takes traffic
 * @param staleWeight highest weight while nothing has confirmed the worker list
 * @param staleAttempts attempts that must have reached a worker to confirm the worker list without discovery
 * @param slowStartWeight weight at which service starts
 * @param slowStartUs time from there to full weight
 * @param discoverySilenceUs silence of discovery after which the status is DEGRADED
 * @param rejectShare share of rejected requests that counts as overload
 * @param refusingWorkerShare share of ready workers with a recent refusal that counts as overload
 * @param waitMultiple wait that counts as overload, as a multiple of the tightest allowance of a job class
 * @param lagUs lag of the event loop that counts as overload
 * @param resourceShare share of client connections, descriptors or heap in use that counts as overload
 * @param reliefFactor part of an overload limit below which overload ends, and from which on the status is DEGRADED
 */
public record AvailabilitySettings(long intervalUs, int rise, int fall, long dwellUs, int stepUp, int stepDown, int minWeight,
        int staleWeight, int staleAttempts, int slowStartWeight, long slowStartUs, long discoverySilenceUs, double rejectShare,
        double refusingWorkerShare, double waitMultiple, long lagUs, double resourceShare, double reliefFactor) {
    public static final AvailabilitySettings DEFAULTS = new AvailabilitySettings(100_000, 5, 3, 1_000_000, 5, 20, 25, 30,
            50, 20, 5_000_000, 10_000_000, 0.5, 0.5, 2, 100_000, 0.95, 0.8);
}
