package granitefold.core;

import granitefold.Dispatcher.JobClass;
import java.util.List;

/**
 * Times of a graceful shutdown in microseconds, counted from the shutdown request. The platform kills a process no sooner than the
 * longest deadline of its job classes, capped at 3 s, plus 0.7 s: short deadlines leave less time than long ones.
 *
 * @param killAfterUs the earliest time at which the process may be killed
 */
record ShutdownSchedule(long killAfterUs) {
    private static final long MAX_DEADLINE_US = 3_000_000, GRACE_US = 700_000;
    /** New connections arrive for up to 0.4 s after the request; after that, clients connect to a sibling. */
    private static final long HAND_OVER_US = 600_000;
    /** The longest stall of a process between reading its clock and acting on it. */
    private static final long MAX_STALL_US = 150_000;
    /** From the last answers to the kill: a stall at the request, another one as answers are written, and their transmission. */
    private static final long ANSWER_MARGIN_US = 2 * MAX_STALL_US + 100_000;
    /** From the end of service to the last answers: the time left for jobs that have just been sent. */
    private static final long LAST_JOBS_US = 250_000;
    /** Clients can read their answers until this long before the kill. */
    private static final long READ_MARGIN_US = 100_000;

    static ShutdownSchedule of(List<JobClass> classes) {
        long longest = classes.stream().mapToLong(JobClass::deadlineUs).max().orElse(0);
        return new ShutdownSchedule(GRACE_US + (longest > 0 ? Math.min(MAX_DEADLINE_US, longest) : MAX_DEADLINE_US));
    }

    /** Returns how long clients are served if a sibling can take them over. */
    long handOverUs() {
        return Math.min(HAND_OVER_US, serveAloneUs());
    }

    /** Returns how long clients are served if no sibling can take them over. */
    long serveAloneUs() {
        return finishUs() - LAST_JOBS_US;
    }

    /** Returns when open requests get their final answer. */
    long finishUs() {
        return killAfterUs - ANSWER_MARGIN_US;
    }

    /** Returns when the process stops reading what clients sent before they saw their connection close. */
    long closeUs() {
        return killAfterUs - READ_MARGIN_US;
    }

    /** Returns when the process ends at the latest. */
    long shutdownTimeoutUs() {
        return killAfterUs;
    }
}
