package granitefold.standin.history;

/** By how much two who see one thing may differ in when they saw it, on a machine that is busy. */
final class TimeSlack {
    static final long OBSERVATION_US = 50_000;

    private TimeSlack() { }
}
