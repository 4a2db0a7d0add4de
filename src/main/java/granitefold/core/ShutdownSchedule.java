package granitefold.core;

import granitefold.Dispatcher.JobClass;
import java.util.List;

/**
 * The times of a planned end, counted from the word to end. The platform kills a process no sooner than the longest deadline,
 * which counts as 3 s where it is longer, plus 0.7 s after that word: with short deadlines there is less time than with long ones.
 */
record ShutdownSchedule(long killAfterUs) {
    private static final long MAX_DEADLINE_US = 3_000_000, GRACE_US = 700_000;
    /** After the word new connections still come for up to 0.4 s; then clients can go over to a sibling. */
    private static final long HAND_OVER_US = 600_000;
    /** A process may be held up for so long between reading its clock and acting on it. */
    private static final long MAX_STALL_US = 150_000;
    /** Between the last answers and the kill: held up when the word came, held up again as they are written, and the way. */
    private static final long ANSWER_MARGIN_US = 2 * MAX_STALL_US + 100_000;
    /** Between the end of service and the last answers: so long may jobs that have just been sent still take. */
    private static final long LAST_JOBS_US = 250_000;
    /** Clients read their answers until so long before the kill. */
    private static final long READ_MARGIN_US = 100_000;

    static ShutdownSchedule of(List<JobClass> classes) {
        long longest = classes.stream().mapToLong(JobClass::deadlineUs).max().orElse(0);
        return new ShutdownSchedule(GRACE_US + (longest > 0 ? Math.min(MAX_DEADLINE_US, longest) : MAX_DEADLINE_US));
    }

    /** For so long clients are served where siblings are there to take them over. */
    long handOverUs() {
        return Math.min(HAND_OVER_US, serveAloneUs());
    }

    /** Where there is no sibling, clients are served for so long on the connections they have. */
    long serveAloneUs() {
        return finishUs() - LAST_JOBS_US;
    }

    /** What is open by then gets its answer. */
    long finishUs() {
        return killAfterUs - ANSWER_MARGIN_US;
    }

    /** What clients sent across our last words has been read by then, as far as it ever will be. */
    long closeUs() {
        return killAfterUs - READ_MARGIN_US;
    }

    /** The process ends by then, whatever is left. */
    long shutdownTimeoutUs() {
        return killAfterUs;
    }
}
