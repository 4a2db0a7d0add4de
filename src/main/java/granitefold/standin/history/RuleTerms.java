package granitefold.standin.history;

import java.util.Map;

/**
 * The parameters of the rules.
 *
 * @param classes each class by its name
 * @param tenants each tenant's quota, in jobs per second over the whole fleet
 * @param drainGraceMs how long after the notification of a drain new jobs may still go to the worker
 * @param slackMs tolerance of time limits: 50 ms for transmission, and the delays of a busy machine
 * @param retryAfter whether each reject carries Retry-After
 * @param recordsProcesses whether the history records the start and the end of every dispatcher process
 * @param checksStatedTime whether the remaining time that attempts state is checked; concurrent test runs delay processes too long for it
 */
public record RuleTerms(Map<String, JobClass> classes, Map<String, Double> tenants, long drainGraceMs, long slackMs,
        boolean retryAfter, boolean recordsProcesses, boolean checksStatedTime) {

    /** The effect of running a job again. */
    public enum Effect { SAFE, KEYED, UNSAFE }

    /** {@code windowMs}: how long a key is remembered; {@code deadlineMs}: the longest time that its clients wait. */
    public record JobClass(Effect effect, long windowMs, long deadlineMs) { }
}
