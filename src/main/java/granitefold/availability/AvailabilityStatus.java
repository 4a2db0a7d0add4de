package granitefold.availability;

/** Where a dispatcher stands towards its balancers, from nothing yet to nothing any more. */
public enum AvailabilityStatus {
    /** No worker is known yet. */
    STARTING(true),
    /** It serves from a list of a former life, which nothing has confirmed. */
    STALE(false),
    READY(false),
    /** It serves as before, but something that it needs is amiss or running short. */
    DEGRADED(false),
    /** It is asked for more than it can do; it takes less, but never nothing. */
    OVERLOADED(false),
    /** No new traffic, by an operator's word or since the process ends. */
    DRAINING(true),
    /** Taken out by an operator. */
    MAINT(true),
    /** The listener is closed. */
    STOPPED(true);

    private final boolean isSetDirectly;

    AvailabilityStatus(boolean told) {
        this.isSetDirectly = told;
    }

    /** Whether it follows from a phase or a word and not from a measurement: it takes no counts and no dwell. */
    public boolean isSetDirectly() {
        return isSetDirectly;
    }

    /** Whether balancers may send new traffic. */
    public boolean acceptsTraffic() {
        return !isSetDirectly;
    }
}
