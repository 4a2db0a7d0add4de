package granitefold.core;

import granitefold.Dispatcher;
import granitefold.Dispatcher.State;
import java.util.ArrayDeque;

/** A worker as discovery lists it, with the connections to it. */
final class Worker {
    /** Ids are below 2^42 in messages between siblings. */
    private static final long ID_MASK = (1L << 42) - 1;

    final String name;
    final long id;
    String address;
    State state;
    /** The last listing by discovery, as passed to the module. */
    Dispatcher.Worker listed;
    /** The number of open connections in any state. */
    int open;
    /** Idle connections, the most recently used first. */
    final ArrayDeque<WorkerConnection> idle = new ArrayDeque<>();

    Worker(String name) {
        this.name = name;
        id = id(name);
    }

    /** Returns the module's id of a worker. It depends on the name alone, so all dispatchers use the same one. */
    static long id(String name) {
        return StableHash.of(name) & ID_MASK;
    }
}
