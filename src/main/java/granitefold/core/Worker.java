package granitefold.core;

import granitefold.Dispatcher;
import granitefold.Dispatcher.State;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;

/** A worker as discovery lists it, with our idle connections to it. */
final class Worker {
    /** Ids travel between siblings as numbers below 2^42. */
    private static final long ID_MASK = (1L << 42) - 1;

    final String name;
    final long id;
    String address;
    State state;
    /** What discovery last said of it, for the module. */
    Dispatcher.Worker listed;
    /** An older list than the one that it stands in calls it draining. */
    boolean drainedByOlderList;
    /** Connections that are open, whatever their state. */
    int open;
    /** Idle connections, the last one used first. */
    final ArrayDeque<WorkerConnection> idle = new ArrayDeque<>();

    Worker(String name) {
        this.name = name;
        id = id(name);
    }

    /** The module's id of a worker: it comes from its name alone, so that all dispatchers use the same one. */
    static long id(String name) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(name.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(hash).getLong() & ID_MASK;
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
