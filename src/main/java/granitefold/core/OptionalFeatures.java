package granitefold.core;

import granitefold.availability.AvailabilitySettings;
import granitefold.health.HealthSettings;
import granitefold.recovery.LearnedStateAgingSettings;

/** Features that an operator's file enables; those of the first three that are off are null. {@code metrics}: metrics are
 * counted and published; {@code trace}: the course of each request and connection is logged. */
public record OptionalFeatures(AvailabilitySettings availability, HealthSettings health, Persistence persistence, boolean metrics,
        boolean trace) {
    /** Saving of the learned state, at an interval in microseconds; {@code ageing} adapts it when it is restored. */
    public record Persistence(long intervalUs, LearnedStateAgingSettings ageing) { }

    /** Returns a copy with metrics on or off. */
    public OptionalFeatures withMetrics(boolean on) {
        return new OptionalFeatures(availability, health, persistence, on, trace);
    }

    /** All features off: they cause no timers, state or effects. */
    public static final OptionalFeatures NONE = new OptionalFeatures(null, null, null, false, false);
}
