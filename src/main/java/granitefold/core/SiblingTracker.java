package granitefold.core;

import granitefold.Dispatcher.Settings;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which siblings are up, by the words that they send anyway. One that was told to end says so, three times lest it be lost, and
 * counts no more until it may have been started anew: it goes on sending words for its last jobs, and who took it for company
 * sent clients to a closed door when its own end came next.
 */
final class SiblingTracker {
    /** A sibling that was heard so lately is up. */
    static final long UP_WINDOW_US = 1_000_000;
    private static final long REPEAT_INTERVAL_US = 100_000;
    private static final int REPEATS = 3;
    /** No message of the module begins so, and versions that do not know this one ignore it. */
    private static final byte[] LEAVING = {'L', 'V', 1};

    /** How long one that leaves may still send words: by then it is killed. */
    private final long leavingTimeoutUs;
    private final boolean enabled;
    private final int self;
    private final int siblingCount;
    private final Timers timers;
    private final List<Effect> effects;
    private final Map<Integer, Long> lastReceivedAt = new HashMap<>();
    private final Map<Integer, Long> leftAt = new HashMap<>();

    SiblingTracker(Settings settings, Timers timers, List<Effect> effects) {
        leavingTimeoutUs = ShutdownSchedule.of(settings.classes()).killAfterUs();
        enabled = settings.limits().siblings();
        self = settings.me();
        siblingCount = settings.siblings();
        this.timers = timers;
        this.effects = effects;
    }

    /** A word has come; true if it was for this class alone. */
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

    /** Whether a sibling is up that can take clients over. */
    boolean siblingUp(long now) {
        return lastReceivedAt.entrySet().stream().anyMatch(e -> now - e.getValue() < UP_WINDOW_US
                && leftAt.getOrDefault(e.getKey(), 0L) < e.getValue());
    }

    /** We were told to end. */
    void announceLeaving(long now) {
        for (int i = 0; enabled && i < REPEATS; i++) {
            timers.at(now + i * REPEAT_INTERVAL_US, t -> {
                for (int s = 0; s < siblingCount; s++) {
                    if (s != self) {
                        effects.add(new Effect.SendToSibling(s, LEAVING));
                    }
                }
            });
        }
    }
}
