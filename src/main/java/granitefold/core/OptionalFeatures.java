package granitefold.core;

import granitefold.availability.AvailabilitySettings;
import granitefold.health.HealthSettings;
import granitefold.recovery.LearnedStateAgingSettings;

/**
 * Features that an operator's file enables.
 *
 * @param availability null if availability is not reported
 * @param health null if the health of workers is not checked
 * @param persistence null if no state is saved
 * @param metrics whether metrics are collected and published
 * @param trace whether the course of each request and connection is logged
 */
public record OptionalFeatures(AvailabilitySettings availability, HealthSettings health, Persistence persistence, boolean metrics,
        boolean trace) {
    /** Saving of the learned state, at an interval in microseconds; {@code aging} adapts it when it is restored. */
    public record Persistence(long intervalUs, LearnedStateAgingSettings aging) { }

    /** Returns a copy with metrics on or off. */
    public OptionalFeatures withMetrics(boolean on) {
        return new OptionalFeatures(availability, health, persistence, on, trace);
    }

    /** All features off: they cause no timers, state or effects. */
    public static final OptionalFeatures NONE = new OptionalFeatures(null, null, null, false, false);
}
