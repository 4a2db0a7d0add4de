package granitefold.standin.ground;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Round-robin load balancer for client connections. A dispatcher is added once it is ready; one that has failed is removed only
 * after the failure detection time.
 */
final class LoadBalancer {
    /** How long the platform keeps sending new connections to a process after SIGTERM. */
    static final long TERMINATED_TRAFFIC_US = 300_000;

    private static final class Target {
        final DispatcherUnderTest dispatcher;
        boolean active;
        long removedAtUs = Long.MAX_VALUE;

        Target(DispatcherUnderTest dispatcher) {
            this.dispatcher = dispatcher;
        }
    }

    private final List<Target> targets = new ArrayList<>();
    private int nextIndex;

    LoadBalancer(List<DispatcherUnderTest> dispatchers) {
        dispatchers.forEach(dispatcher -> targets.add(new Target(dispatcher)));
    }

    synchronized void add(DispatcherUnderTest dispatcher) {
        Target target = target(dispatcher);
        target.active = true;
        target.removedAtUs = Long.MAX_VALUE;
    }

    /** Sends no new connections to a dispatcher from the given time on, because it has failed or is shutting down. */
    synchronized void removeAt(DispatcherUnderTest dispatcher, long atUs) {
        Target target = target(dispatcher);
        target.removedAtUs = Math.min(target.removedAtUs, atUs);
    }

    synchronized boolean isActive(DispatcherUnderTest dispatcher, long nowUs) {
        Target target = target(dispatcher);
        return target.active && nowUs < target.removedAtUs;
    }

    private Target target(DispatcherUnderTest dispatcher) {
        return targets.stream().filter(target -> target.dispatcher == dispatcher).findFirst().orElseThrow();
    }

    /** Returns the dispatcher for the next connection, or null if none is active. */
    synchronized DispatcherUnderTest next(long nowUs) {
        for (int i = 0; i < targets.size(); i++) {
            Target target = targets.get(nextIndex++ % targets.size());
            if (target.active && nowUs >= target.removedAtUs) {
                target.active = false;
                target.removedAtUs = Long.MAX_VALUE;
            }
            if (target.active) {
                return target.dispatcher;
            }
        }
        return null;
    }

    static InetSocketAddress address(DispatcherUnderTest dispatcher) {
        return dispatcher.clientAddress;
    }
}
