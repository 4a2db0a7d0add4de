package granitefold.recovery;

/**
 * How fast each matter goes stale: time constants in microseconds. After one of them a figure's weight is 1/e of what it
 * was; past {@code uses} of them it is dropped.
 *
 * @param speedUs a worker's own speed: another program on its machine comes and goes within a minute
 * @param kindUs a kind's speed and slots: machines of a kind stay what they are
 * @param fetchUs the fetch's time and the number of kept keys
 * @param keptUs which keys a worker keeps
 */
public record LearnedStateAgingSettings(long workerSpeedUs, long kindSpeedUs, long fetchTimeUs, long keptKeysUs, double maxTimeConstants) {
    private static final long S = 1_000_000;
    public static final LearnedStateAgingSettings DEFAULTS = new LearnedStateAgingSettings(60 * S, 86_400 * S, 3_600 * S, 30 * S, 5);
}
