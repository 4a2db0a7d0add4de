package granitefold.core;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.LongConsumer;

/** Timers in the order in which they fall due. */
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

    /** Takes a timer back, so that it keeps nothing in memory; null and one that has run out are ignored. */
    void cancel(Timer timer) {
        if (timer != null) {
            queue.remove(timer);
        }
    }

    /** The next that is due by now, taken out, or null. */
    LongConsumer due(long now) {
        return !queue.isEmpty() && queue.first().at() <= now ? queue.pollFirst().action() : null;
    }

    /** When the next one falls due. */
    long next() {
        return queue.isEmpty() ? Long.MAX_VALUE : queue.first().at();
    }

    int size() {
        return queue.size();
    }
}
