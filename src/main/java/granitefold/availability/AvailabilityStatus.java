package granitefold.availability;

/** Availability of a dispatcher to its balancers, in order from the start of the process to its end. */
public enum AvailabilityStatus {
    /** No worker is known yet. */
    STARTING(true),
    /** The worker list was saved by a previous process, and nothing has confirmed it. */
    STALE(false),
    READY(false),
    /** All traffic is served, but a dependency has failed or a resource runs short. */
    DEGRADED(false),
    /** The load exceeds the capacity; the weight is lowered, but never to 0. */
    OVERLOADED(false),
    /** No new traffic, because an operator asked for it or the process shuts down. */
    DRAINING(true),
    /** Taken out of service by an operator. */
    MAINT(true),
    /** The listener is closed. */
    STOPPED(true);

    private final boolean setDirectly;

    AvailabilityStatus(boolean setDirectly) {
        this.setDirectly = setDirectly;
    }

    /**
     * Whether the status follows from a process phase or an operator's request and not from measurements. Such a status needs
     * no evaluation count and no dwell time.
     */
    public boolean isSetDirectly() {
        return setDirectly;
    }

    /** Whether balancers may send new traffic. */
    public boolean acceptsTraffic() {
        return !setDirectly;
    }
}
