package granitefold.core;

/**
 * A job as a client handed it in, whatever the protocol. {@code name} is the client's id of it, {@code remainingUs} is how long the client waits,
 * {@code workUs} the hinted work (0 if untold), {@code key} what the job is about (0: nothing),
 * {@code repeatKey} the key by which repeats of it are known, or null.
 */
public record Submission(String name, int jobClass, int tenant, long remainingUs, double workUs, int slots, int memory, long key,
        Payload payload, String repeatKey) {
    /** One without a key by which repeats are known. */
    public Submission(String name, int jobClass, int tenant, long remainingUs, double workUs, int slots, int memory, long key,
            Payload payload) {
        this(name, jobClass, tenant, remainingUs, workUs, slots, memory, key, payload, null);
    }
}
