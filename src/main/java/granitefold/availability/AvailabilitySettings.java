package granitefold.availability;

/**
 * The figures of the machine; all are an operator's to set.
 *
 * @param intervalUs time between two evaluations that count
 * @param rise evaluations in a row for a better standing
 * @param fall evaluations in a row for a worse one
 * @param dwellUs shortest stay in a measured standing
 * @param stepUp most percent of weight gained in an evaluation
 * @param stepDown most percent of weight lost in an evaluation
 * @param floor least weight under overload, above 0: a fleet overloaded together must not empty itself
 * @param staleWeight most weight with a list that nothing has confirmed
 * @param staleAttempts attempts that must have reached workers to confirm a list without discovery
 * @param slowFrom weight at which service starts
 * @param slowUs time from there to full weight
 * @param silenceUs silence of discovery that degrades
 * @param rejects share of rejects that is overload
 * @param full share of ready workers that lately refused that is overload
 * @param waits wait, in multiples of the tightest class's allowance, that is overload
 * @param lagUs lag of the loop that is overload
 * @param room share of places, descriptors or heap in use that is overload
 * @param relief share of an overload at which it ends, and from which on the dispatcher is degraded
 */
public record AvailabilitySettings(long intervalUs, int rise, int fall, long dwellUs, int stepUp, int stepDown, int minWeight,
        int staleWeight, int staleAttempts, int slowStartWeight, long slowStartUs, long discoverySilenceUs, double rejectShare, double refusingWorkerShare, double waitMultiple,
        long lagUs, double resourceShare, double reliefFactor) {
    public static final AvailabilitySettings DEFAULTS = new AvailabilitySettings(100_000, 5, 3, 1_000_000, 5, 20, 25, 30,
            50, 20, 5_000_000, 10_000_000, 0.5, 0.5, 2, 100_000, 0.95, 0.8);
}
