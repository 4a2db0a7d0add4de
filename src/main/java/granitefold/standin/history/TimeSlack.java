package granitefold.standin.history;

/** Tolerance between the times at which two observers record the same event on a busy machine. */
final class TimeSlack {
    static final long OBSERVATION_US = 50_000;

    private TimeSlack() { }
}
