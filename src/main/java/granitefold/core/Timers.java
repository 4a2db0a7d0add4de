package granitefold.core;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.LongConsumer;

/** Timers, ordered by due time and, if equal, by creation. */
final class Timers {
    private final TreeSet<Timer> queue = new TreeSet<>(
            Comparator.comparingLong(Timer::at).thenComparingLong(Timer::number));
    private long number;

    record Timer(long at, long number, LongConsumer action) { }

    Timer at(long at, LongConsumer action) {
        Timer timer = new Timer(at, number++, action);
        queue.add(timer);
        return timer;
    }

    /** Cancels a timer and releases its memory; null and expired timers are ignored. */
    void cancel(Timer timer) {
        if (timer != null) {
            queue.remove(timer);
        }
    }

    /** Removes the next timer that is due and returns its action, or returns null. */
    LongConsumer due(long now) {
        return !queue.isEmpty() && queue.first().at() <= now ? queue.pollFirst().action() : null;
    }

    /** Returns when the next timer is due, {@link Long#MAX_VALUE} if there is none. */
    long next() {
        return queue.isEmpty() ? Long.MAX_VALUE : queue.first().at();
    }

    int size() {
        return queue.size();
    }
}
