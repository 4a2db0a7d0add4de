package granitefold.core;

import granitefold.availability.AvailabilitySettings;
import granitefold.health.HealthSettings;
import granitefold.recovery.AgeingSettings;

/** What an operator's file adds to the core; each part is null where it is off. */
public record Extras(AvailabilitySettings availability, HealthSettings health, Memory memory) {
    /** What was learned is to outlive the process: it is given out at this interval, in microseconds. */
    public record Memory(long everyUs, AgeingSettings ageing) { }

    /** Nothing: no timer, no state, no effect. */
    public static final Extras NONE = new Extras(null, null, null);
}
