package granitefold.rollout;

import java.util.Map;

/**
 * Margins by which the new version may be worse than the old one.
 *
 * @param alpha probability that a version that is no worse is judged worse at any time in one stage
 * @param served allowed loss of the share of requests served, weighted by worth
 * @param refused allowed increase of the share of a class's requests that are refused
 * @param errors allowed increase of the share of a class's requests that fail
 * @param time allowed ratio of the mean time in the dispatcher: 1.2 is a fifth longer
 * @param memory allowed ratio of resident memory
 * @param crashes allowed number of crashes of the new version beyond those of the old one
 * @param worth worth of a request by job class; 1 for other classes
 */
public record Margins(double alpha, double served, double refused, double errors, double time, double memory, int crashes,
        Map<String, Double> worth) {
    public static final Margins DEFAULTS = new Margins(0.05, 0.02, 0.03, 0.02, 1.25, 1.4, 0, Map.of());

    double worthOf(String jobClass) {
        return worth.getOrDefault(jobClass, 1.0);
    }
}
