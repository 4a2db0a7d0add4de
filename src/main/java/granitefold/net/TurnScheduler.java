package granitefold.net;

import granitefold.figures.LoopUse;
import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides which connection may read next. In a round of the event loop each priority has a limited time, however many connections
 * have input: the rest waits for the next round, after new input and the timers have been looked at.
 */
final class TurnScheduler {
    /** Whose input is read first. */
    enum Priority {
        DISCOVERY("discovery", 8, 8),
        WORKERS("workers", 4, 1),
        CLIENTS("clients", 2, 1);

        private final String label;
        /** The time of all turns in a round, and of one: the last turn of a round may begin just before its end. */
        private final long maxRoundNs;
        private final long maxTurnNs;

        Priority(String label, long maxRoundMs, long maxTurnMs) {
            this.label = label;
            maxRoundNs = TimeUnit.MILLISECONDS.toNanos(maxRoundMs);
            maxTurnNs = TimeUnit.MILLISECONDS.toNanos(maxTurnMs);
        }
    }

    /** The time in which all that wait are to have a turn; where they are many, turns become shorter. */
    private static final long MAX_CYCLE_NS = TimeUnit.MILLISECONDS.toNanos(20);
    /** A shorter turn costs more by itself than the input that is read in it. */
    private static final long MIN_TURN_NS = TimeUnit.MICROSECONDS.toNanos(100);

    /** What one priority has used, since the last {@link #startRound} and in all. */
    private static final class Usage {
        private int turns;
        private long roundNs;
        private long longestNs;
        private long totalNs;

        void add(long durationNs) {
            turns++;
            roundNs += durationNs;
            totalNs += durationNs;
            longestNs = Math.max(longestNs, durationNs);
        }

        void reset() {
            turns = 0;
            roundNs = 0;
            longestNs = 0;
        }
    }

    private final Map<Priority, FairQueue> queues = new EnumMap<>(Priority.class);
    private final Map<Priority, Usage> usage = new EnumMap<>(Priority.class);
    private final Runnable requestRound;
    private long unfinishedTurns;
    private long fullRounds;

    /** @param requestRound is called when a connection waits for its turn; may be called many times before the next round */
    TurnScheduler(Runnable requestRound) {
        this.requestRound = requestRound;
        for (Priority priority : Priority.values()) {
            queues.put(priority, new FairQueue());
            usage.put(priority, new Usage());
        }
    }

    /** Queues a turn, unless it is queued. */
    void request(ReadTurn turn) {
        queues.get(turn.priority()).add(turn);
        requestRound.run();
    }

    void cancel(ReadTurn turn) {
        queues.get(turn.priority()).remove(turn);
    }

    /** Returns whether any turn is waiting. */
    boolean hasWaiting() {
        return hasWaitingOutbound() || !queues.get(Priority.CLIENTS).isEmpty();
    }

    /** Returns whether a turn is waiting of a connection that this process has opened. */
    boolean hasWaitingOutbound() {
        return !queues.get(Priority.DISCOVERY).isEmpty() || !queues.get(Priority.WORKERS).isEmpty();
    }

    /** Runs the turns of discovery and of workers. */
    void runOutbound() {
        run(Priority.DISCOVERY);
        run(Priority.WORKERS);
    }

    /** Runs the turns of clients. */
    void runClients() {
        run(Priority.CLIENTS);
    }

    /** Runs those turns that wait now, each once, until the time of the round is used up. */
    private void run(Priority priority) {
        FairQueue queue = queues.get(priority);
        long startNs = System.nanoTime();
        long nowNs = startNs;
        for (int left = queue.size(); left > 0 && !queue.isEmpty() && nowNs - startNs < priority.maxRoundNs; left--) {
            ReadTurn turn = (ReadTurn) queue.poll();
            runSafely(turn, maxTurnNs(priority, queue.size()));
            long endNs = System.nanoTime();
            queue.charge(turn, endNs - nowNs);
            usage.get(priority).add(endNs - nowNs);
            if (turn.isUnfinished()) {
                unfinishedTurns++;
                queue.add(turn);
            }
            nowNs = endNs;
        }
        if (nowNs - startNs >= priority.maxRoundNs && !queue.isEmpty()) {
            fullRounds++;
        }
    }

    private static long maxTurnNs(Priority priority, int otherFlows) {
        return Math.max(MIN_TURN_NS, Math.min(priority.maxTurnNs, MAX_CYCLE_NS / (otherFlows + 1)));
    }

    private static void runSafely(ReadTurn turn, long maxNs) {
        try {
            turn.run(maxNs);
        } catch (RuntimeException e) {
            // a failing turn must not end the event loop
            EventLog.error(LogEvent.INTERNAL_ERROR, e, "read turn");
        }
    }

    /** Returns what the turns have used in all, with these figures of the loop. */
    LoopUse use(long slowRounds, long longestRoundNs) {
        return new LoopUse(totalUs(Priority.DISCOVERY), totalUs(Priority.WORKERS), totalUs(Priority.CLIENTS), unfinishedTurns, fullRounds, slowRounds,
                TimeUnit.NANOSECONDS.toMicros(longestRoundNs));
    }

    private long totalUs(Priority priority) {
        return TimeUnit.NANOSECONDS.toMicros(usage.get(priority).totalNs);
    }

    /** Starts to count anew what the turns use. */
    void startRound() {
        usage.values().forEach(Usage::reset);
    }

    /** Describes what the turns have used since {@link #startRound}, and how many are waiting. */
    String describeRound() {
        StringBuilder text = new StringBuilder();
        queues.forEach((priority, queue) -> {
            Usage used = usage.get(priority);
            text.append(text.isEmpty() ? "" : ", ").append(priority.label).append(' ').append(TimeUnit.NANOSECONDS.toMillis(used.roundNs))
                    .append(" ms in ").append(used.turns).append(" turns, ").append(TimeUnit.NANOSECONDS.toMillis(used.longestNs))
                    .append(" ms at most, ").append(queue.size()).append(" waiting");
        });
        return text.toString();
    }
}
