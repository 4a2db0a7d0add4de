package granitefold.core;

import granitefold.Dispatcher;
import granitefold.Dispatcher.Outcome;
import granitefold.availability.Availability;
import granitefold.availability.AvailabilitySettings;
import granitefold.availability.Life;
import granitefold.availability.Signals;
import granitefold.availability.Standing;
import granitefold.availability.Verdict;
import granitefold.availability.Wish;
import granitefold.logging.LogEvent;
import java.util.List;

/**
 * Keeps the availability machine supplied: it counts what comes by, samples at an interval, and publishes the verdict.
 * Where it is off it does nothing.
 */
final class AvailabilityMonitor {
    /** What was answered longer ago than this counts half and less. */
    private static final double HALF_LIFE_US = 1_000_000;

    private final Reducer reducer;
    private final int connections;
    private final Timers timers;
    private final List<Effect> effects;
    private AvailabilitySettings settings;
    private Availability availability;
    private Availability.State state;
    private Wish requestedMode = Wish.READY;
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
    /** Answers and rejects of late, fading, and as of when. */
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

    /** Other figures from now on. */
    void settingsChanged(AvailabilitySettings newSettings) {
        if (settings == null || newSettings != null) {
            settings = newSettings;
            availability = settings == null ? null : new Availability(settings, connections);
        }
    }

    void opened(long now) {
        if (availability != null) {
            startedAt = lastUpdateAt = lastListAt = decayedAt = now;
            state = Availability.State.first(now);
            sample(now);
        }
    }

    private void sample(long now) {
        effects.add(new Effect.SampleResources());
        timers.at(now + settings.intervalUs(), this::sample);
    }

    /** Discovery has said something; {@code accepted}: what it said was a list. */
    void discoveryUpdated(boolean accepted, long now) {
        lastUpdateAt = now;
        // an empty line says that the version told in the request still holds
        confirmed = true;
        if (accepted) {
            lastListAt = now;
        }
    }

    void answered(FinalAnswer answer, long now) {
        if (availability == null) {
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

    void resourcesSampled(ResourceUsage news, long now) {
        resources = news;
        evaluate(now);
    }

    void modeRequested(Wish news, long now) {
        requestedMode = news;
        evaluate(now);
    }

    /** Clients are told to leave: others are there for them, as far as the operator knows. */
    boolean closesClients() {
        return state != null && requestedMode != Wish.READY && !state.standing().serves();
    }

    /** Something of weight has happened, or time has passed. */
    void evaluate(long now) {
        if (availability == null || state == null) {
            return;
        }
        decay(now);
        Dispatcher.Pressure pressure = reducer.pressure();
        double waitRatio = pressure.waitUs() / Math.max(1, pressure.boundUs());
        double rejectShare = recentRejects / Math.max(1, recentAnswers);
        Availability.State nextState = availability.next(state, new Signals(processStage(), requestedMode, confirmed, now - Math.max(lastListAt, lastUpdateAt),
                now - lastUpdateAt, pressure.ready(), reachedAttempts, unreachableAttempts, rejectShare,
                (double) pressure.full() / Math.max(1, pressure.ready()), waitRatio, reducer.clientShare(),
                resources.descriptorShare(), resources.heapShare(), resources.lagUs(), now - startedAt), now);
        logTransition(state.standing(), nextState);
        state = nextState;
        Verdict verdict = availability.verdict(state);
        double answersPerSecond = recentAnswers * Math.log(2) / HALF_LIFE_US * 1e6;
        effects.add(new Effect.PublishReport(new StatusReport(verdict, reducer.phase(), requestedMode, reducer.owed(), reducer.clients(),
                pressure.ready(), reducer.workersDown(), reducer.panic(), confirmed, reducer.listVersion(),
                now - Math.max(lastListAt, lastUpdateAt), now - lastUpdateAt, waitRatio, rejectShare, answersPerSecond, resources, now - startedAt, served,
                rejected, failed)));
    }

    private void logTransition(Standing previous, Availability.State current) {
        if (previous != current.standing()) {
            effects.add(new Effect.Log(LogEvent.AVAILABILITY, previous, current.standing(), current.weight(), current.reason()));
        }
    }

    private Life processStage() {
        return switch (reducer.phase()) {
            case STARTING -> Life.STARTING;
            case SERVING -> Life.SERVING;
            case DRAINING -> Life.ENDING;
            case FINISHING, CLOSING, STOPPED -> Life.ENDED;
        };
    }

    private void decay(long now) {
        double remaining = Math.pow(0.5, (now - decayedAt) / HALF_LIFE_US);
        recentAnswers *= remaining;
        recentRejects *= remaining;
        decayedAt = now;
    }
}
