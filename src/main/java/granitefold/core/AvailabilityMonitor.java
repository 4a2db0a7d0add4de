package granitefold.core;

import granitefold.Dispatcher;
import granitefold.Dispatcher.Outcome;
import granitefold.availability.AvailabilityStateMachine;
import granitefold.availability.AvailabilitySettings;
import granitefold.availability.ProcessPhase;
import granitefold.availability.AvailabilitySignals;
import granitefold.availability.AvailabilityStatus;
import granitefold.availability.AvailabilityReport;
import granitefold.availability.RequestedMode;
import granitefold.logging.LogEvent;
import java.util.List;

/**
 * Feeds the availability state machine: counts answers and attempts, samples resources at an interval, and publishes a status
 * report. Does nothing if availability reporting is off.
 */
final class AvailabilityMonitor {
    /** Half-life of the recent answer and reject counts, in microseconds. */
    private static final double HALF_LIFE_US = 1_000_000;

    private final Reducer reducer;
    private final int connections;
    private final Timers timers;
    private final List<Effect> effects;
    private AvailabilitySettings settings;
    private AvailabilityStateMachine stateMachine;
    private AvailabilityStateMachine.State state;
    private RequestedMode requestedMode = RequestedMode.READY;
    private ResourceUsage resources = ResourceUsage.UNKNOWN;
    private long startedAt;
    private long lastUpdateAt;
    private long lastListAt;
    private boolean confirmed;
    private int reachedAttempts;
    private int unreachableAttempts;
    private long served;
    private long rejected;
    private long failed;
    /** Exponentially decayed counts of answers and rejects, and the time of the last decay. */
    private double recentAnswers;
    private double recentRejects;
    private long decayedAt;

    AvailabilityMonitor(AvailabilitySettings settings, int connections, Reducer reducer, Timers timers, List<Effect> effects) {
        this.connections = connections;
        this.reducer = reducer;
        this.timers = timers;
        this.effects = effects;
        settingsChanged(settings);
    }

    /** Replaces the settings; {@code null} does not switch reporting off. */
    void settingsChanged(AvailabilitySettings newSettings) {
        if (settings == null || newSettings != null) {
            settings = newSettings;
            stateMachine = settings == null ? null : new AvailabilityStateMachine(settings, connections);
        }
    }

    void opened(long now) {
        if (stateMachine != null) {
            startedAt = lastUpdateAt = lastListAt = decayedAt = now;
            state = AvailabilityStateMachine.State.initial(now);
            sample(now);
        }
    }

    private void sample(long now) {
        effects.add(new Effect.SampleResources());
        timers.at(now + settings.intervalUs(), this::sample);
    }

    /** Discovery has sent a message; {@code accepted}: it was a list, and was accepted. */
    void discoveryUpdated(boolean accepted, long now) {
        lastUpdateAt = now;
        // an empty line confirms the version named in the request
        confirmed = true;
        if (accepted) {
            lastListAt = now;
        }
    }

    void answered(FinalAnswer answer, long now) {
        if (stateMachine == null) {
            return;
        }
        decay(now);
        recentAnswers++;
        if (answer instanceof FinalAnswer.Served) {
            served++;
        } else if (answer instanceof FinalAnswer.Rejected) {
            rejected++;
            recentRejects++;
        } else {
            failed++;
        }
    }

    void attemptEnded(Outcome outcome) {
        if (outcome == Outcome.UNREACHABLE) {
            unreachableAttempts++;
        } else if (outcome != Outcome.MOOT && outcome != Outcome.CANCELLED && outcome != Outcome.TIMED_OUT) {
            reachedAttempts++;
        }
    }

    void resourcesSampled(ResourceUsage sampled, long now) {
        resources = sampled;
        evaluate(now);
    }

    void modeRequested(RequestedMode mode, long now) {
        requestedMode = mode;
        evaluate(now);
    }

    /** Whether answers close their client connections: the operator has taken this dispatcher out of service, and expects others to serve. */
    boolean closesClients() {
        return state != null && requestedMode != RequestedMode.READY && !state.status().acceptsTraffic();
    }

    /** Evaluates the availability state and publishes a report, after an important event or a sample. */
    void evaluate(long now) {
        if (stateMachine == null || state == null) {
            return;
        }
        decay(now);
        Dispatcher.Pressure pressure = reducer.pressure();
        double waitRatio = pressure.waitUs() / Math.max(1, pressure.boundUs());
        double rejectShare = recentRejects / Math.max(1, recentAnswers);
        AvailabilityStateMachine.State nextState = stateMachine.next(state, new AvailabilitySignals(processPhase(), requestedMode, confirmed,
                now - Math.max(lastListAt, lastUpdateAt), now - lastUpdateAt, pressure.ready(), reachedAttempts, unreachableAttempts, rejectShare,
                (double) pressure.refusing() / Math.max(1, pressure.ready()), waitRatio, reducer.clientShare(),
                resources.descriptorShare(), resources.heapShare(), resources.lagUs(), now - startedAt), now);
        logTransition(state.status(), nextState);
        state = nextState;
        AvailabilityReport report = stateMachine.report(state);
        double answersPerSecond = recentAnswers * Math.log(2) / HALF_LIFE_US * 1e6;
        effects.add(new Effect.PublishReport(new StatusReport(report, reducer.phase(), requestedMode, reducer.owed(), reducer.clients(),
                pressure.ready(), reducer.workersDown(), reducer.panic(), confirmed, reducer.listVersion(),
                now - Math.max(lastListAt, lastUpdateAt), now - lastUpdateAt, waitRatio, rejectShare, answersPerSecond, resources, now - startedAt,
                served, rejected, failed)));
    }

    private void logTransition(AvailabilityStatus previous, AvailabilityStateMachine.State current) {
        if (previous != current.status()) {
            effects.add(new Effect.Log(LogEvent.AVAILABILITY, previous, current.status(), current.weight(), current.reason()));
        }
    }

    private ProcessPhase processPhase() {
        return switch (reducer.phase()) {
            case STARTING -> ProcessPhase.STARTING;
            case SERVING -> ProcessPhase.SERVING;
            case DRAINING -> ProcessPhase.SHUTTING_DOWN;
            case FINISHING, CLOSING, STOPPED -> ProcessPhase.SHUT_DOWN;
        };
    }

    private void decay(long now) {
        double remaining = Math.pow(0.5, (now - decayedAt) / HALF_LIFE_US);
        recentAnswers *= remaining;
        recentRejects *= remaining;
        decayedAt = now;
    }
}
