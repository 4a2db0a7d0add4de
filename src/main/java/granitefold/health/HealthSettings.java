package granitefold.health;

/**
 * Settings of worker health tracking; times are in microseconds.
 *
 * @param probesEnabled whether workers are probed at all
 * @param intervalUs time between two probes of a worker
 * @param jitter largest share of the interval by which a probe is early or late
 * @param timeoutUs time limit of a probe
 * @param rise successful probes in a row that bring a worker back
 * @param fall failed probes in a row that take a worker out
 * @param maxConcurrentProbes largest number of probes in flight
 * @param panicShare share of ready workers that look dead above which panic mode starts and all workers are used
 * @param slowStart whether a worker that recovers is treated as just started
 * @param ejectAfterFailures failed attempts in a row after which a worker is ejected; 0: never
 * @param ejectUs duration of the first ejection; the n-th one lasts n times as long
 * @param maxEjectUs longest ejection
 * @param maxEjectedShare share of ready workers that may be ejected at the same time; at least one may be if there are others
 */
public record HealthSettings(boolean probesEnabled, long intervalUs, double jitter, long timeoutUs, int rise, int fall,
        int maxConcurrentProbes, double panicShare, boolean slowStart, int ejectAfterFailures, long ejectUs, long maxEjectUs,
        double maxEjectedShare) {
    public static final HealthSettings DEFAULTS = new HealthSettings(false, 2_000_000, 0.2, 1_000_000, 2, 3, 4, 0.5, true,
            0, 10_000_000, 60_000_000, 0.1);
}
