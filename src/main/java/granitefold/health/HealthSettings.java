package granitefold.health;

/**
 * The figures of worker health; times are microseconds.
 *
 * @param probes whether workers are probed at all
 * @param intervalUs time between two probes of a worker
 * @param jitter share of the interval that a probe is early or late by, at the most
 * @param timeoutUs a probe without an answer by then has failed
 * @param rise probes in a row that bring a worker back
 * @param fall probes in a row that take it out
 * @param atOnce probes that are out at the same time, at the most
 * @param panic share of ready workers that may look dead; past it none is taken to be
 * @param slowStart whether a worker that came back is told to the module as just started
 * @param failures attempts in a row that must fail for a worker to be ejected; 0: never
 * @param ejectUs how long the first ejection lasts; the next ones last so many times that
 * @param ejectMostUs the longest ejection
 * @param ejectShare share of ready workers that may be ejected at once; one always may, if there are others
 */
public record HealthSettings(boolean probesEnabled, long intervalUs, double jitter, long timeoutUs, int rise, int fall, int maxConcurrentProbes,
        double panicShare, boolean slowStart, int ejectAfterFailures, long ejectUs, long maxEjectUs, double maxEjectedShare) {
    public static final HealthSettings DEFAULTS = new HealthSettings(false, 2_000_000, 0.2, 1_000_000, 2, 3, 4, 0.5, true,
            0, 10_000_000, 60_000_000, 0.1);
}
