package granitefold.core;

import granitefold.Dispatcher;
import granitefold.figures.MetricsSnapshot;
import granitefold.figures.MetricsCollector;
import java.util.List;

/** Counts the figures and publishes them at an interval. Does nothing if nobody can request them. */
final class FiguresPublisher {
    /** Well below the half second that figures may be old when they are read. */
    static final long INTERVAL_US = 100_000;

    private final Reducer reducer;
    private final Timers timers;
    private final List<Effect> effects;
    private final MetricsCollector tally;

    FiguresPublisher(boolean on, int classes, Reducer reducer, Timers timers, List<Effect> effects) {
        tally = on ? new MetricsCollector(classes) : null;
        this.reducer = reducer;
        this.timers = timers;
        this.effects = effects;
    }

    void opened(long now) {
        if (tally != null) {
            publish();
            timers.at(now + INTERVAL_US, this::opened);
        }
    }

    /** Publishes the current figures, also between intervals after an important change. */
    void publish() {
        if (tally != null) {
            Dispatcher.WorkerCounts counts = reducer.workerCounts();
            MetricsSnapshot f = tally.snapshot(reducer.owed(), counts.listed(), counts.avoided(), reducer.ready());
            effects.add(new Effect.PublishFigures(f));
        }
    }

    void answering(long client, int jobClass, FinalAnswer answer) {
        if (tally != null) {
            tally.replyStarted(client, jobClass, answer instanceof FinalAnswer.Served ? MetricsCollector.ReplyOutcome.SUCCESS
                    : answer instanceof FinalAnswer.Rejected ? MetricsCollector.ReplyOutcome.OVERLOAD : MetricsCollector.ReplyOutcome.ERROR);
        }
    }

    void written(long client) {
        if (tally != null) {
            tally.replyWritten(client);
        }
    }

    void closed(long client) {
        if (tally != null) {
            tally.clientClosed(client);
        }
    }

    void dispatched() {
        if (tally != null) {
            tally.attemptDispatched();
        }
    }
}
