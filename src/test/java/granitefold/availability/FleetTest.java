package granitefold.availability;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Simulates eight dispatchers behind a balancer that distributes by their weights, in steps of virtual time. It is a fluid
 * model without single requests, because it examines the feedback loop between weight and load.
 */
class FleetTest {
    private static final int DISPATCHERS = 8;
    private static final int STEPS = 1200;
    private static final double CAPACITY = 100;
    /** The balancer polls each agent every 2 s. */
    private static final int POLL_STEPS = 20;

    private record Outcome(double served, int statusChanges, double maxLoad, double minLoad) { }

    /** Serves {@code load} for two minutes; each dispatcher has the given share of the full capacity. */
    private static Outcome simulate(double load, double[] capacityShare, boolean checksEnabled, long seed) {
        AvailabilitySettings settings = AvailabilitySettings.DEFAULTS;
        AvailabilityStateMachine machine = new AvailabilityStateMachine(settings, 400);
        SplittableRandom random = new SplittableRandom(seed);
        AvailabilityStateMachine.State[] states = new AvailabilityStateMachine.State[DISPATCHERS];
        double[] weights = new double[DISPATCHERS];
        double[] queue = new double[DISPATCHERS];
        double[] totalLoad = new double[DISPATCHERS];
        Arrays.fill(weights, 100);
        double served = 0;
        int changes = 0;
        int[] offset = random.ints(DISPATCHERS, 0, POLL_STEPS).toArray();
        for (int i = 0; i < DISPATCHERS; i++) {
            states[i] = AvailabilityStateMachine.State.initial(0);
        }
        double stepS = settings.intervalUs() / 1e6;
        for (int step = 1; step <= STEPS; step++) {
            double weightSum = Arrays.stream(weights).sum();
            for (int i = 0; i < DISPATCHERS; i++) {
                double arriving = load * weights[i] / weightSum * stepS * (0.8 + 0.4 * random.nextDouble());
                double capacity = CAPACITY * capacityShare[i] * stepS;
                // Jobs that would wait for longer than twice the tightest allowance are rejected.
                double room = Math.max(0, CAPACITY * capacityShare[i] * 0.6 - queue[i] + capacity);
                double accepted = Math.min(arriving, room);
                double completed = Math.min(queue[i] + accepted, capacity);
                queue[i] += accepted - completed;
                served += completed;
                totalLoad[i] += arriving;
                double rejectShare = arriving == 0 ? 0 : 1 - accepted / arriving;
                double waitMultiple = queue[i] / (CAPACITY * capacityShare[i]) / 0.3;
                AvailabilityStateMachine.State next = machine.next(states[i],
                        new AvailabilitySignals(ProcessPhase.SERVING, RequestedMode.READY, true, 0, 0, 5, 0, 0, rejectShare,
                                0, waitMultiple, 0.1, 0.1, 0.1, 0, 0), step * settings.intervalUs());
                // Changes within the first 200 steps belong to the start.
                changes += next.status() != states[i].status() && step > 200 ? 1 : 0;
                states[i] = next;
                if (checksEnabled && step % POLL_STEPS == offset[i]) {
                    weights[i] = Math.max(1, machine.report(next).weightPercent());
                }
            }
        }
        return new Outcome(served, changes, Arrays.stream(totalLoad).max().orElseThrow(), Arrays.stream(totalLoad).min().orElseThrow());
    }

    private static double[] capacityShares(double first) {
        double[] shares = new double[DISPATCHERS];
        Arrays.fill(shares, 1);
        shares[0] = first;
        return shares;
    }

    @Test
    void checksServeNoLessAndDoNotFlap() {
        for (long seed = 1; seed <= 5; seed++) {
            for (double load : new double[] {400, 780, 900, 1600, 4000}) {
                for (double first : new double[] {1, 0.3}) {
                    Outcome with = simulate(load, capacityShares(first), true, seed);
                    Outcome without = simulate(load, capacityShares(first), false, seed);
                    String description = "load " + load + ", first " + first + ": " + with + " against " + without;
                    // Half a percent allows for the noise of the queues.
                    assertTrue(with.served() >= 0.995 * without.served(), description);
                    // Two minutes without the start: at most one change of each dispatcher in ten seconds.
                    assertTrue(with.statusChanges() <= 10 * DISPATCHERS, description);
                }
            }
        }
    }

    @Test
    void slowDispatcherIsRelievedWithoutOverloadingOthers() {
        Outcome with = simulate(700, capacityShares(0.3), true, 7);
        Outcome without = simulate(700, capacityShares(0.3), false, 7);
        assertTrue(with.served() > 1.01 * without.served(), with + " against " + without);
        assertTrue(with.maxLoad() < 1.3 * without.maxLoad(), "traffic does not concentrate on one dispatcher: " + with);
        assertTrue(with.minLoad() > 0, "every dispatcher gets traffic");
    }
}
