package granitefold.availability;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Checks invariants under random sequences of signals, and the transitions of single cases. */
class AvailabilityStateMachineTest {
    private static final AvailabilitySettings SETTINGS = AvailabilitySettings.DEFAULTS;
    private static final int MAX_CONNECTIONS = 400;
    private static final long INTERVAL_US = SETTINGS.intervalUs();

    private final AvailabilityStateMachine machine = new AvailabilityStateMachine(SETTINGS, MAX_CONNECTIONS);

    /** One evaluation with these signals, {@code afterUs} after the one before. */
    record Step(long afterUs, AvailabilitySignals signals) { }

    private static AvailabilitySignals signals(ProcessPhase processPhase, RequestedMode requestedMode, boolean listConfirmed, int reached,
            int unreachable, double rejectShare, double waitMultiple, long silenceUs) {
        return new AvailabilitySignals(processPhase, requestedMode, listConfirmed, silenceUs, silenceUs, 5, reached, unreachable,
                rejectShare, 0, waitMultiple, 0.1, 0.1, 0.2, 0, 0);
    }

    private static AvailabilitySignals healthySignals() {
        return signals(ProcessPhase.SERVING, RequestedMode.READY, true, 0, 0, 0, 0, 0);
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<AvailabilitySignals> signals = Combinators.combine(Arbitraries.of(ProcessPhase.values()),
                Arbitraries.of(RequestedMode.values()), Arbitraries.of(true, false),
                Arbitraries.integers().between(0, 120), Arbitraries.integers().between(0, 60),
                Arbitraries.doubles().between(0, 1), Arbitraries.doubles().between(0, 6),
                Arbitraries.longs().between(0, 20_000_000)).as(AvailabilityStateMachineTest::signals);
        // Time sometimes goes back, as with a clock that is set.
        return Combinators.combine(Arbitraries.longs().between(-500_000, 2_000_000), signals).as(Step::new).list().ofMaxSize(80);
    }

    private List<AvailabilityStateMachine.State> states(List<Step> steps) {
        List<AvailabilityStateMachine.State> states = new ArrayList<>(List.of(AvailabilityStateMachine.State.initial(0)));
        long now = 0;
        for (Step s : steps) {
            now += s.afterUs();
            states.add(machine.next(states.get(states.size() - 1), s.signals(), now));
        }
        return states;
    }

    @Property(tries = 500)
    void weightStaysWithinStaleLimitUntilListIsConfirmed(@ForAll("steps") List<Step> steps) {
        List<AvailabilityStateMachine.State> states = states(steps);
        boolean confirmed = false;
        for (int i = 0; i < steps.size(); i++) {
            AvailabilitySignals signals = steps.get(i).signals();
            confirmed |= signals.listConfirmed()
                    || signals.attemptsReached() >= SETTINGS.staleAttempts() && signals.attemptsReached() >= 9 * signals.attemptsUnreachable();
            if (!confirmed) {
                assertTrue(states.get(i + 1).weight() <= SETTINGS.staleWeight(), states.get(i + 1).toString());
            }
        }
    }

    @Property(tries = 500)
    void measuredStatusLastsAtLeastTheDwellTime(@ForAll("steps") List<Step> steps) {
        List<AvailabilityStateMachine.State> states = states(steps);
        for (int i = 1; i < states.size(); i++) {
            AvailabilityStateMachine.State previous = states.get(i - 1);
            AvailabilityStateMachine.State next = states.get(i);
            if (previous.status() != next.status() && !previous.status().isSetDirectly() && !next.status().isSetDirectly()) {
                assertTrue(next.evaluatedAt() - previous.statusSince() >= SETTINGS.dwellUs(), previous + " then " + next);
            }
        }
    }

    @Property(tries = 500)
    void operatorModesHoldAndShutdownTakesPrecedence(@ForAll("steps") List<Step> steps) {
        List<AvailabilityStateMachine.State> states = states(steps);
        for (int i = 0; i < steps.size(); i++) {
            AvailabilitySignals signals = steps.get(i).signals();
            AvailabilityStatus status = states.get(i + 1).status();
            assertEquals(signals.processPhase() == ProcessPhase.SHUT_DOWN, status == AvailabilityStatus.STOPPED);
            assertEquals(signals.processPhase() == ProcessPhase.SHUTTING_DOWN
                    || signals.processPhase().compareTo(ProcessPhase.SHUTTING_DOWN) < 0 && signals.requestedMode() == RequestedMode.DRAIN,
                    status == AvailabilityStatus.DRAINING);
            assertEquals(signals.processPhase().compareTo(ProcessPhase.SHUTTING_DOWN) < 0 && signals.requestedMode() == RequestedMode.MAINT,
                    status == AvailabilityStatus.MAINT);
            assertEquals(status.acceptsTraffic(), states.get(i + 1).weight() > 0, "the weight is 0 exactly if no traffic is accepted");
        }
    }

    @Property(tries = 500)
    void weightChangesInBoundedSteps(@ForAll("steps") List<Step> steps) {
        List<AvailabilityStateMachine.State> states = states(steps);
        for (int i = 1; i < states.size(); i++) {
            AvailabilityStateMachine.State previous = states.get(i - 1);
            AvailabilityStateMachine.State next = states.get(i);
            if (previous.status().acceptsTraffic() && next.status().acceptsTraffic()) {
                assertTrue(next.weight() - previous.weight() <= SETTINGS.stepUp(), previous + " then " + next);
                assertTrue(!next.listTrusted() || previous.weight() - next.weight() <= SETTINGS.stepDown(), previous + " then " + next);
            } else if (next.status().acceptsTraffic()) {
                assertTrue(next.weight() <= SETTINGS.slowStartWeight(), "service begins with the slow-start weight: " + next);
            }
        }
    }

    private AvailabilityStateMachine.State repeat(AvailabilityStateMachine.State initial, AvailabilitySignals signals, int times) {
        AvailabilityStateMachine.State state = initial;
        for (int i = 0; i < times; i++) {
            state = machine.next(state, signals, state.evaluatedAt() + INTERVAL_US);
        }
        return state;
    }

    private AvailabilityStateMachine.State serving() {
        return repeat(AvailabilityStateMachine.State.initial(0), healthySignals(), 200);
    }

    @Test
    void overloadLowersWeightToItsMinimumOnly() {
        AvailabilityStateMachine.State state = repeat(serving(), signals(ProcessPhase.SERVING, RequestedMode.READY, true, 0, 0, 1, 50, 0), 100);
        assertEquals(AvailabilityStatus.OVERLOADED, state.status());
        assertEquals(SETTINGS.minWeight(), state.weight());
        assertEquals(MAX_CONNECTIONS * SETTINGS.minWeight() / 100, machine.report(state).maxConnections());
        // Between the relief factor and the limit the status stays, so that it does not flap at the limit.
        state = repeat(state, signals(ProcessPhase.SERVING, RequestedMode.READY, true, 0, 0, 0, 0.9 * SETTINGS.waitMultiple(), 0), 100);
        assertEquals(AvailabilityStatus.OVERLOADED, state.status());
        state = repeat(state, healthySignals(), 100);
        assertEquals(AvailabilityStatus.READY, state.status());
        assertEquals(100, state.weight());
    }

    @Test
    void fewerBadEvaluationsThanFallChangeNothing() {
        AvailabilityStateMachine.State state = serving();
        state = repeat(state, signals(ProcessPhase.SERVING, RequestedMode.READY, true, 0, 0, 1, 50, 0), SETTINGS.fall() - 1);
        assertEquals(AvailabilityStatus.READY, state.status());
        assertEquals(AvailabilityStatus.READY, repeat(state, healthySignals(), 1).status());
    }

    @Test
    void unreachableSavedListLowersWeightAndReachableOneIsTrusted() {
        AvailabilityStateMachine.State state = repeat(AvailabilityStateMachine.State.initial(0),
                signals(ProcessPhase.SERVING, RequestedMode.READY, false, 0, 40, 0.9, 0, 0), 100);
        assertEquals(AvailabilityStatus.STALE, state.status());
        assertEquals(1, state.weight());
        assertTrue(state.reason().contains("wrong"), state.reason());
        state = repeat(AvailabilityStateMachine.State.initial(0),
                signals(ProcessPhase.SERVING, RequestedMode.READY, false, SETTINGS.staleAttempts(), 2, 0, 0, 0), 300);
        assertEquals(AvailabilityStatus.READY, state.status());
        assertEquals(100, state.weight());
    }

    @Test
    void discoverySilenceDegradesTemporarily() {
        AvailabilityStateMachine.State state = repeat(serving(),
                signals(ProcessPhase.SERVING, RequestedMode.READY, true, 0, 0, 0, 0, 25_000_000), 100);
        assertEquals(AvailabilityStatus.DEGRADED, state.status());
        assertTrue(state.impaired());
        assertEquals(100, state.weight(), "all dispatchers may have lost discovery, so the weight stays");
        assertEquals(AvailabilityStatus.READY, repeat(state, healthySignals(), 100).status());
    }
}
