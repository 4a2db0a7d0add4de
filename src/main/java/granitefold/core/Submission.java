package granitefold.core;

/**
 * A job as a client handed it in, whatever the protocol. {@code name} is the client's id of it, {@code remainingUs} is how long the client waits,
 * {@code workUs} the hinted work (0 if untold), {@code key} what the job is about (0: nothing).
 */
public record Submission(String name, int jobClass, int tenant, long remainingUs, double workUs, int slots, int memory, long key,
        Payload payload) { }
