package granitefold.core;

/**
 * A job submitted by a client, independent of the protocol.
 *
 * @param name the client's id of the request
 * @param remainingUs how long the client waits
 * @param workUs the client's estimate of the work, 0 if none
 * @param key hash of the object that the job is about, 0 if none
 * @param repeatKey the idempotency key that identifies repeats, or null
 */
public record Submission(String name, int jobClass, int tenant, long remainingUs, double workUs, int slots, int memory, long key,
        Payload payload, String repeatKey) {
    /** Creates a submission without an idempotency key. */
    public Submission(String name, int jobClass, int tenant, long remainingUs, double workUs, int slots, int memory, long key,
            Payload payload) {
        this(name, jobClass, tenant, remainingUs, workUs, slots, memory, key, payload, null);
    }

    /** Returns the same submission without what would be sent to a worker. */
    Submission withoutPayload() {
        return new Submission(name, jobClass, tenant, remainingUs, workUs, slots, memory, key, null, repeatKey);
    }
}
