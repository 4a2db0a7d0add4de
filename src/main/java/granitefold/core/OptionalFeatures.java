package granitefold.core;

import granitefold.availability.AvailabilitySettings;
import granitefold.health.HealthSettings;
import granitefold.recovery.LearnedStateAgingSettings;

/** What an operator's file adds to the core, each part null where it is off; {@code figures}: they are kept;
 * {@code trace}: what becomes of each request and connection is logged. */
public record OptionalFeatures(AvailabilitySettings availability, HealthSettings health, Persistence persistence, boolean figures,
        boolean trace) {
    /** What was learned is to outlive the process: it is given out at this interval, in microseconds. */
    public record Persistence(long intervalUs, LearnedStateAgingSettings ageing) { }

    /** The same with or without figures. */
    public OptionalFeatures withFigures(boolean on) {
        return new OptionalFeatures(availability, health, persistence, on, trace);
    }

    /** Nothing: no timer, no state, no effect. */
    public static final OptionalFeatures NONE = new OptionalFeatures(null, null, null, false, false);
}
