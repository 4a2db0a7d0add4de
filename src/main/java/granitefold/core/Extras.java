package granitefold.core;

import granitefold.availability.AvailabilitySettings;
import granitefold.health.HealthSettings;
import granitefold.recovery.LearnedStateAgingSettings;

/** What an operator's file adds to the core, each part null where it is off; {@code figures}: they are kept;
 * {@code trace}: what becomes of each request and connection is logged. */
public record Extras(AvailabilitySettings availability, HealthSettings health, Memory memory, boolean figures,
        boolean trace) {
    /** What was learned is to outlive the process: it is given out at this interval, in microseconds. */
    public record Memory(long everyUs, LearnedStateAgingSettings ageing) { }

    /** The same with or without figures. */
    public Extras withFigures(boolean on) {
        return new Extras(availability, health, memory, on, trace);
    }

    /** Nothing: no timer, no state, no effect. */
    public static final Extras NONE = new Extras(null, null, null, false, false);
}
