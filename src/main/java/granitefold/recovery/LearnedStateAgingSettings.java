package granitefold.recovery;

/**
 * How fast each part of the learned state becomes outdated, as time constants in microseconds. After one time constant
 * the weight of a value is 1/e of what it was; after {@code maxTimeConstants} of them the value is dropped.
 *
 * @param workerSpeedUs speed of a single worker: other programs on its machine come and go within a minute
 * @param kindSpeedUs speed and slots of a kind of worker: machines of one kind do not change
 * @param fetchTimeUs duration of a fetch and the number of keys that a worker keeps
 * @param keptKeysUs which keys a worker keeps
 */
public record LearnedStateAgingSettings(long workerSpeedUs, long kindSpeedUs, long fetchTimeUs, long keptKeysUs, double maxTimeConstants) {
    private static final long SECOND_US = 1_000_000;
    public static final LearnedStateAgingSettings DEFAULTS = new LearnedStateAgingSettings(60 * SECOND_US, 86_400 * SECOND_US,
            3_600 * SECOND_US, 30 * SECOND_US, 5);
}
