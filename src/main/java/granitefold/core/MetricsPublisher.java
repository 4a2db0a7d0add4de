package granitefold.core;

import granitefold.Dispatcher;
import granitefold.figures.MetricsSnapshot;
import granitefold.figures.MetricsCollector;
import java.util.List;

/** Collects metrics and publishes them at an interval. Does nothing if there is no endpoint to read them. */
final class MetricsPublisher {
    /** Well below the half second that metrics may be old when they are read. */
    static final long INTERVAL_US = 100_000;
    private static final int FIRST_ERROR_STATUS = 400;

    private final Reducer reducer;
    private final Timers timers;
    private final List<Effect> effects;
    private final MetricsCollector collector;

    MetricsPublisher(boolean on, int classes, Reducer reducer, Timers timers, List<Effect> effects) {
        collector = on ? new MetricsCollector(classes) : null;
        this.reducer = reducer;
        this.timers = timers;
        this.effects = effects;
    }

    void opened(long now) {
        if (collector != null) {
            publish();
            timers.at(now + INTERVAL_US, this::opened);
        }
    }

    /** Publishes the current metrics, also between intervals after an important change. */
    void publish() {
        if (collector != null) {
            Dispatcher.WorkerCounts counts = reducer.workerCounts();
            MetricsSnapshot metrics = collector.snapshot(reducer.owed(), reducer.clientStates(), counts.listed(), counts.avoided(), reducer.ready());
            effects.add(new Effect.PublishMetrics(metrics));
        }
    }

    void replyStarted(long client, int jobClass, FinalAnswer answer) {
        if (collector != null) {
            collector.replyStarted(client, jobClass, answer instanceof FinalAnswer.Served ? MetricsCollector.ReplyOutcome.SUCCESS
                    : answer instanceof FinalAnswer.Rejected ? MetricsCollector.ReplyOutcome.OVERLOAD : MetricsCollector.ReplyOutcome.ERROR);
            if (answer instanceof FinalAnswer.Rejected rejected) {
                collector.refused(rejected.reason().name());
            }
        }
    }

    void replyWritten(long client) {
        if (collector != null) {
            collector.replyWritten(client);
        }
    }

    void answeredLocally(int status) {
        if (collector != null && status >= FIRST_ERROR_STATUS) {
            collector.invalidRequest(status);
        }
    }

    void clientClosed(long client, CloseReason reason) {
        if (collector != null) {
            collector.clientClosed(client, reason.name());
        }
    }

    void attemptDispatched() {
        if (collector != null) {
            collector.attemptDispatched();
        }
    }
}
