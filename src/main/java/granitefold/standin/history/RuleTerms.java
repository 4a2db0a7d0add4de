package granitefold.standin.history;

import java.util.Map;

/**
 * What the rules are measured by.
 *
 * @param classes each class by its name
 * @param tenants each tenant's quota, jobs a second over the whole fleet
 * @param drainGraceMs nothing new goes to a cocinero so long after its drain was told
 * @param slackMs by how much a time limit may be passed: the wire's 50 ms and what a busy machine adds
 * @param retryAfter whether each reject carries Retry-After
 * @param recordsProcesses whether the history tells of each dispatcher's processes when they are there
 * @param checksStatedTime whether the time that attempts tell is judged: several plays at once hold processes up for longer than is allowed
 */
public record RuleTerms(Map<String, JobClass> classes, Map<String, Double> tenants, long drainGraceMs, long slackMs,
        boolean retryAfter, boolean recordsProcesses, boolean checksStatedTime) {

    /** What a repeat of a job does. */
    public enum Effect { SAFE, KEYED, UNSAFE }

    /** {@code windowMs}: how long a key is remembered; {@code deadlineMs}: what its clients wait at the most. */
    public record JobClass(Effect effect, long windowMs, long deadlineMs) { }
}
