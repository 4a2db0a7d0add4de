package granitefold.rollout;

import java.util.Map;

/**
 * What counts as worse.
 *
 * @param alpha probability that a version that is no worse is ever called so in one stage
 * @param served share of the worth served that may be lost
 * @param refused share of a class's answers that may be refused more
 * @param errors share of a class's answers that may fail more
 * @param time ratio of the mean time in the dispatcher that is borne: 1.2 is a fifth longer
 * @param memory ratio of memory that is borne
 * @param crashes ends by themselves of new ones beyond those of old ones
 * @param worth worth of a request by class; one of none counts 1
 */
public record Margins(double alpha, double served, double refused, double errors, double time, double memory, int crashes,
        Map<String, Double> worth) {
    public static final Margins DEFAULTS = new Margins(0.05, 0.02, 0.03, 0.02, 1.25, 1.4, 0, Map.of());

    double worthOf(String jobClass) {
        return worth.getOrDefault(jobClass, 1.0);
    }
}
