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
 * Keeps the availability machine supplied: it counts what comes by, samples at an interval, and publishes the verdict.
 * Where it is off it does nothing.
 */
final class AvailabilityMonitor {
    /** What was answered longer ago than this counts half and less. */
    private static final double HALF_US = 1_000_000;

    private final Reducer reducer;
    private final int connections;
    private final Timers timers;
    private final List<Effect> effects;
    private AvailabilitySettings set;
    private AvailabilityStateMachine machine;
    private AvailabilityStateMachine.State state;
    private RequestedMode wish = RequestedMode.READY;
    private ResourceUsage resources = ResourceUsage.UNKNOWN;
    private long startedAt;
    private long heardAt;
    private long listedAt;
    private boolean confirmed;
    private int reached;
    private int missed;
    private long served;
    private long rejected;
    private long failed;
    /** Answers and rejects of late, fading, and as of when. */
    private double answers;
    private double rejects;
    private long fadedAt;

    AvailabilityMonitor(AvailabilitySettings set, int connections, Reducer reducer, Timers timers, List<Effect> effects) {
        this.connections = connections;
        this.reducer = reducer;
        this.timers = timers;
        this.effects = effects;
        retuned(set);
    }

    /** Other figures from now on. */
    void retuned(AvailabilitySettings figures) {
        if (set == null || figures != null) {
            set = figures;
            machine = set == null ? null : new AvailabilityStateMachine(set, connections);
        }
    }

    void opened(long now) {
        if (machine != null) {
            startedAt = heardAt = listedAt = fadedAt = now;
            state = AvailabilityStateMachine.State.initial(now);
            sample(now);
        }
    }

    private void sample(long now) {
        effects.add(new Effect.SampleResources());
        timers.at(now + set.intervalUs(), this::sample);
    }

    /** Discovery has said something; {@code list}: what it said was a list. */
    void heard(boolean list, long now) {
        heardAt = now;
        // an empty line says that the version told in the request still holds
        confirmed = true;
        if (list) {
            listedAt = now;
        }
    }

    void answered(FinalAnswer answer, long now) {
        if (machine == null) {
            return;
        }
        fade(now);
        answers++;
        if (answer instanceof FinalAnswer.Served) {
            served++;
        } else if (answer instanceof FinalAnswer.Rejected) {
            rejected++;
            rejects++;
        } else {
            failed++;
        }
    }

    void tried(Outcome outcome) {
        if (outcome == Outcome.UNREACHABLE) {
            missed++;
        } else if (outcome != Outcome.MOOT && outcome != Outcome.CANCELLED && outcome != Outcome.TIMED_OUT) {
            reached++;
        }
    }

    void sampled(ResourceUsage news, long now) {
        resources = news;
        evaluate(now);
    }

    void wished(RequestedMode news, long now) {
        wish = news;
        evaluate(now);
    }

    /** Clients are told to leave: others are there for them, as far as the operator knows. */
    boolean sendsAway() {
        return state != null && wish != RequestedMode.READY && !state.status().acceptsTraffic();
    }

    /** Something of weight has happened, or time has passed. */
    void evaluate(long now) {
        if (machine == null || state == null) {
            return;
        }
        fade(now);
        Dispatcher.Pressure pressure = reducer.pressure();
        double wait = pressure.waitUs() / Math.max(1, pressure.boundUs());
        double share = rejects / Math.max(1, answers);
        AvailabilityStateMachine.State next = machine.next(state, new AvailabilitySignals(life(), wish, confirmed, now - Math.max(listedAt, heardAt),
                now - heardAt, pressure.ready(), reached, missed, share,
                (double) pressure.refusing() / Math.max(1, pressure.ready()), wait, reducer.clientShare(),
                resources.descriptorShare(), resources.heapShare(), resources.lagUs(), now - startedAt), now);
        log(state.status(), next);
        state = next;
        AvailabilityReport verdict = machine.report(state);
        double perS = answers * Math.log(2) / HALF_US * 1e6;
        effects.add(new Effect.PublishReport(new StatusReport(verdict, reducer.phase(), wish, reducer.owed(), reducer.clients(),
                pressure.ready(), reducer.workersDown(), reducer.panic(), confirmed, reducer.listVersion(),
                now - Math.max(listedAt, heardAt), now - heardAt, wait, share, perS, resources, now - startedAt, served,
                rejected, failed)));
    }

    private void log(AvailabilityStatus from, AvailabilityStateMachine.State to) {
        if (from != to.status()) {
            effects.add(new Effect.Log(LogEvent.AVAILABILITY, from, to.status(), to.weight(), to.reason()));
        }
    }

    private ProcessPhase life() {
        return switch (reducer.phase()) {
            case STARTING -> ProcessPhase.STARTING;
            case SERVING -> ProcessPhase.SERVING;
            case DRAINING -> ProcessPhase.SHUTTING_DOWN;
            case FINISHING, CLOSING, STOPPED -> ProcessPhase.SHUT_DOWN;
        };
    }

    private void fade(long now) {
        double left = Math.pow(0.5, (now - fadedAt) / HALF_US);
        answers *= left;
        rejects *= left;
        fadedAt = now;
    }
}
