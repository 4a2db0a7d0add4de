package granitefold.core;

import granitefold.availability.AvailabilitySettings;
import granitefold.health.HealthSettings;

/** What an operator's file adds to the core; each part is null where it is off. */
public record Extras(AvailabilitySettings availability, HealthSettings health) {
    /** Nothing: no timer, no state, no effect. */
    public static final Extras NONE = new Extras(null, null);
}
