package granitefold.standin.ground;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The plain layer that deals out connections among the dispatchers. It takes one in when that says that it serves, and notices
 * only some time later that one has died. Pure but for its turn.
 */
final class LoadBalancer {
    /** How long after SIGTERM new connections still come, as the platform has it. */
    static final long TERMINATED_TRAFFIC_US = 300_000;

    private static final class Target {
        final DispatcherUnderTest member;
        boolean active;
        long removedAtUs = Long.MAX_VALUE;

        Target(DispatcherUnderTest member) {
            this.member = member;
        }
    }

    private final List<Target> targets = new ArrayList<>();
    private int nextIndex;

    LoadBalancer(List<DispatcherUnderTest> members) {
        members.forEach(m -> targets.add(new Target(m)));
    }

    synchronized void add(DispatcherUnderTest m) {
        Target target = target(m);
        target.active = true;
        target.removedAtUs = Long.MAX_VALUE;
    }

    /** It dies, or was told to end: nothing new goes there from a time on. */
    synchronized void removeAt(DispatcherUnderTest m, long atUs) {
        Target target = target(m);
        target.removedAtUs = Math.min(target.removedAtUs, atUs);
    }

    synchronized boolean isActive(DispatcherUnderTest m, long nowUs) {
        Target target = target(m);
        return target.active && nowUs < target.removedAtUs;
    }

    private Target target(DispatcherUnderTest m) {
        return targets.stream().filter(target -> target.member == m).findFirst().orElseThrow();
    }

    /** Whom the next connection goes to, or null. */
    synchronized DispatcherUnderTest next(long nowUs) {
        for (int i = 0; i < targets.size(); i++) {
            Target target = targets.get(nextIndex++ % targets.size());
            if (target.active && nowUs >= target.removedAtUs) {
                target.active = false;
                target.removedAtUs = Long.MAX_VALUE;
            }
            if (target.active) {
                return target.member;
            }
        }
        return null;
    }

    static InetSocketAddress address(DispatcherUnderTest m) {
        return m.clientAddress;
    }
}
