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

/** What no order of events may bring about, and the hard cases one by one. */
class AvailabilityStateMachineTest {
    private static final AvailabilitySettings SET = AvailabilitySettings.DEFAULTS;
    private static final int PLACES = 400;
    private static final long STEP = SET.intervalUs();

    private final AvailabilityStateMachine machine = new AvailabilityStateMachine(SET, PLACES);

    /** One evaluation: so much later, with these signals. */
    record Step(long afterUs, AvailabilitySignals in) { }

    private static AvailabilitySignals signals(ProcessPhase life, RequestedMode wish, boolean confirmed, int reached, int missed, double rejects,
            double waits, long silentUs) {
        return new AvailabilitySignals(life, wish, confirmed, silentUs, silentUs, 5, reached, missed, rejects, 0, waits, 0.1, 0.1, 0.2,
                0, 0);
    }

    private static AvailabilitySignals well() {
        return signals(ProcessPhase.SERVING, RequestedMode.READY, true, 0, 0, 0, 0, 0);
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<AvailabilitySignals> signals = Combinators.combine(Arbitraries.of(ProcessPhase.values()), Arbitraries.of(RequestedMode.values()),
                Arbitraries.of(true, false), Arbitraries.integers().between(0, 120), Arbitraries.integers().between(0, 60),
                Arbitraries.doubles().between(0, 1), Arbitraries.doubles().between(0, 6),
                Arbitraries.longs().between(0, 20_000_000)).as(AvailabilityStateMachineTest::signals);
        // back in time now and then, as a clock that steps
        return Combinators.combine(Arbitraries.longs().between(-500_000, 2_000_000), signals).as(Step::new).list().ofMaxSize(80);
    }

    private List<AvailabilityStateMachine.State> play(List<Step> steps) {
        List<AvailabilityStateMachine.State> states = new ArrayList<>(List.of(AvailabilityStateMachine.State.initial(0)));
        long now = 0;
        for (Step s : steps) {
            now += s.afterUs();
            states.add(machine.next(states.get(states.size() - 1), s.in(), now));
        }
        return states;
    }

    @Property(tries = 500)
    void aStaleListNeverClaimsMoreThanItsShare(@ForAll("steps") List<Step> steps) {
        List<AvailabilityStateMachine.State> states = play(steps);
        boolean told = false;
        for (int i = 0; i < steps.size(); i++) {
            AvailabilitySignals in = steps.get(i).in();
            told |= in.listConfirmed() || in.attemptsReached() >= SET.staleAttempts() && in.attemptsReached() >= 9 * in.attemptsUnreachable();
            if (!told) {
                assertTrue(states.get(i + 1).weight() <= SET.staleWeight(), states.get(i + 1).toString());
            }
        }
    }

    @Property(tries = 500)
    void noMeasuredStandingIsLeftBeforeItsDwell(@ForAll("steps") List<Step> steps) {
        List<AvailabilityStateMachine.State> states = play(steps);
        for (int i = 1; i < states.size(); i++) {
            AvailabilityStateMachine.State a = states.get(i - 1);
            AvailabilityStateMachine.State b = states.get(i);
            if (a.status() != b.status() && !a.status().isSetDirectly() && !b.status().isSetDirectly()) {
                assertTrue(b.evaluatedAt() - a.statusSince() >= SET.dwellUs(), a + " then " + b);
            }
        }
    }

    @Property(tries = 500)
    void aDrainEndsOnlyByReadyAndTheProcessesEndGoesBeforeAll(@ForAll("steps") List<Step> steps) {
        List<AvailabilityStateMachine.State> states = play(steps);
        for (int i = 0; i < steps.size(); i++) {
            AvailabilitySignals in = steps.get(i).in();
            AvailabilityStatus s = states.get(i + 1).status();
            assertEquals(in.processPhase() == ProcessPhase.SHUT_DOWN, s == AvailabilityStatus.STOPPED);
            assertEquals(in.processPhase() == ProcessPhase.SHUTTING_DOWN || in.processPhase().compareTo(ProcessPhase.SHUTTING_DOWN) < 0 && in.requestedMode() == RequestedMode.DRAIN,
                    s == AvailabilityStatus.DRAINING);
            assertEquals(in.processPhase().compareTo(ProcessPhase.SHUTTING_DOWN) < 0 && in.requestedMode() == RequestedMode.MAINT, s == AvailabilityStatus.MAINT);
            assertEquals(s.acceptsTraffic(), states.get(i + 1).weight() > 0, "a serving dispatcher is never down, one that is not is");
        }
    }

    @Property(tries = 500)
    void theWeightMovesInBoundedSteps(@ForAll("steps") List<Step> steps) {
        List<AvailabilityStateMachine.State> states = play(steps);
        for (int i = 1; i < states.size(); i++) {
            AvailabilityStateMachine.State a = states.get(i - 1);
            AvailabilityStateMachine.State b = states.get(i);
            if (a.status().acceptsTraffic() && b.status().acceptsTraffic()) {
                assertTrue(b.weight() - a.weight() <= SET.stepUp(), a + " then " + b);
                assertTrue(!b.listTrusted() || a.weight() - b.weight() <= SET.stepDown(), a + " then " + b);
            } else if (b.status().acceptsTraffic()) {
                assertTrue(b.weight() <= SET.slowStartWeight(), "service begins slowly: " + b);
            }
        }
    }

    private AvailabilityStateMachine.State repeat(AvailabilityStateMachine.State s, AvailabilitySignals in, int times) {
        AvailabilityStateMachine.State state = s;
        for (int i = 0; i < times; i++) {
            state = machine.next(state, in, state.evaluatedAt() + STEP);
        }
        return state;
    }

    private AvailabilityStateMachine.State serving() {
        return repeat(AvailabilityStateMachine.State.initial(0), well(), 200);
    }

    @Test
    void overloadLowersTheWeightToItsFloorAndNoFurther() {
        AvailabilityStateMachine.State s = repeat(serving(), signals(ProcessPhase.SERVING, RequestedMode.READY, true, 0, 0, 1, 50, 0), 100);
        assertEquals(AvailabilityStatus.OVERLOADED, s.status());
        assertEquals(SET.minWeight(), s.weight());
        assertEquals(PLACES * SET.minWeight() / 100, machine.report(s).maxConnections());
        // between relief and the limit it stays: the edge is where flapping begins
        s = repeat(s, signals(ProcessPhase.SERVING, RequestedMode.READY, true, 0, 0, 0, 0.9 * SET.waitMultiple(), 0), 100);
        assertEquals(AvailabilityStatus.OVERLOADED, s.status());
        s = repeat(s, well(), 100);
        assertEquals(AvailabilityStatus.READY, s.status());
        assertEquals(100, s.weight());
    }

    @Test
    void oneBadEvaluationChangesNothing() {
        AvailabilityStateMachine.State s = serving();
        s = repeat(s, signals(ProcessPhase.SERVING, RequestedMode.READY, true, 0, 0, 1, 50, 0), SET.fall() - 1);
        assertEquals(AvailabilityStatus.READY, s.status());
        assertEquals(AvailabilityStatus.READY, repeat(s, well(), 1).status());
    }

    @Test
    void aSavedListThatIsWrongTakesTheWeightDownAndOneThatIsRightIsBelieved() {
        AvailabilityStateMachine.State s = repeat(AvailabilityStateMachine.State.initial(0), signals(ProcessPhase.SERVING, RequestedMode.READY, false, 0, 40, 0.9, 0, 0), 100);
        assertEquals(AvailabilityStatus.STALE, s.status());
        assertEquals(1, s.weight());
        assertTrue(s.reason().contains("wrong"), s.reason());
        s = repeat(AvailabilityStateMachine.State.initial(0), signals(ProcessPhase.SERVING, RequestedMode.READY, false, SET.staleAttempts(), 2, 0, 0, 0), 300);
        assertEquals(AvailabilityStatus.READY, s.status());
        assertEquals(100, s.weight());
    }

    @Test
    void aSilenceOfDiscoveryDegradesAndPasses() {
        AvailabilityStateMachine.State s = repeat(serving(), signals(ProcessPhase.SERVING, RequestedMode.READY, true, 0, 0, 0, 0, 25_000_000), 100);
        assertEquals(AvailabilityStatus.DEGRADED, s.status());
        assertTrue(s.impaired());
        assertEquals(100, s.weight(), "all may have lost it: nobody else would do better");
        assertEquals(AvailabilityStatus.READY, repeat(s, well(), 100).status());
    }
}
