package granitefold.core;

import granitefold.Dispatcher;
import granitefold.figures.MetricsSnapshot;
import granitefold.figures.MetricsCollector;
import java.util.List;

/** Keeps the figures and publishes them at an interval. Where nobody may ask for them it does nothing. */
final class FiguresPublisher {
    /** Figures may be half a second old when they are read. */
    static final long EVERY_US = 100_000;

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
            timers.at(now + EVERY_US, this::opened);
        }
    }

    /** Tells how things stand now, out of turn where something of weight has changed. */
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
