package granitefold.core;

import granitefold.Dispatcher.Settings;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which siblings are up by the gossip that they send. A sibling that shuts down announces it, three times in case datagrams
 * are lost, and is not up until it may have been restarted: it goes on gossiping for its last jobs, and a dispatcher that counted
 * it as up would send clients to a closed listener during its own shutdown.
 */
final class SiblingTracker {
    /** A sibling is up for this long after a message. */
    static final long UP_WINDOW_US = 1_000_000;
    private static final long REPEAT_INTERVAL_US = 100_000;
    private static final int REPEATS = 3;
    /** The announcement. No message of the module starts like this, and older versions ignore it. */
    private static final byte[] LEAVING = {'L', 'V', 1};

    /** How long a leaving sibling can still gossip: it is killed by then. */
    private final long leavingTimeoutUs;
    private final boolean enabled;
    private final int selfIndex;
    private final int siblingCount;
    private final Timers timers;
    private final List<Effect> effects;
    private final Map<Integer, Long> lastReceivedAt = new HashMap<>();
    private final Map<Integer, Long> leftAt = new HashMap<>();

    SiblingTracker(Settings settings, Timers timers, List<Effect> effects) {
        leavingTimeoutUs = ShutdownSchedule.of(settings.classes()).killAfterUs();
        enabled = settings.limits().siblingMessages();
        selfIndex = settings.selfIndex();
        siblingCount = settings.siblings();
        this.timers = timers;
        this.effects = effects;
    }

    /** Handles a message; returns true if it is an announcement, which the module does not get. */
    boolean received(int from, byte[] message, long now) {
        if (Arrays.equals(message, LEAVING)) {
            leftAt.put(from, now);
            return true;
        }
        if (now - leftAt.getOrDefault(from, now - leavingTimeoutUs) >= leavingTimeoutUs) {
            lastReceivedAt.put(from, now);
        }
        return false;
    }

    /** Whether any sibling is up that can take over clients. */
    boolean siblingUp(long now) {
        return lastReceivedAt.entrySet().stream().anyMatch(e -> now - e.getValue() < UP_WINDOW_US
                && leftAt.getOrDefault(e.getKey(), 0L) < e.getValue());
    }

    /** Announces to all siblings that this dispatcher is shutting down. */
    void announceLeaving(long now) {
        for (int i = 0; enabled && i < REPEATS; i++) {
            timers.at(now + i * REPEAT_INTERVAL_US, t -> {
                for (int s = 0; s < siblingCount; s++) {
                    if (s != selfIndex) {
                        effects.add(new Effect.SendToSibling(s, LEAVING));
                    }
                }
            });
        }
    }
}
