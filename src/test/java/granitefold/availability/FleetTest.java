package granitefold.availability;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Eight dispatchers behind a balancer that deals by their weights, in steps of virtual time: a fluid model, since what
 * is in question is the loop from weight to load and back, not any one request.
 */
class FleetTest {
    private static final int COUNT = 8;
    private static final int STEPS = 1200;
    private static final double CAPACITY = 100;
    /** The balancer asks each agent every 2 s. */
    private static final int POLL = 20;

    private record Outcome(double served, int changes, double busiest, double idlest) { }

    /** Serves {@code load} for two minutes; each has this part of a full one's capacity. */
    private static Outcome run(double load, double[] part, boolean checks, long seed) {
        AvailabilitySettings set = AvailabilitySettings.DEFAULTS;
        AvailabilityStateMachine machine = new AvailabilityStateMachine(set, 400);
        SplittableRandom random = new SplittableRandom(seed);
        AvailabilityStateMachine.State[] states = new AvailabilityStateMachine.State[COUNT];
        double[] weights = new double[COUNT];
        double[] queue = new double[COUNT];
        double[] total = new double[COUNT];
        Arrays.fill(weights, 100);
        double served = 0;
        int changes = 0;
        int[] offset = random.ints(COUNT, 0, POLL).toArray();
        for (int i = 0; i < COUNT; i++) {
            states[i] = AvailabilityStateMachine.State.initial(0);
        }
        double dt = set.intervalUs() / 1e6;
        for (int step = 1; step <= STEPS; step++) {
            double sum = Arrays.stream(weights).sum();
            for (int i = 0; i < COUNT; i++) {
                double arrive = load * weights[i] / sum * dt * (0.8 + 0.4 * random.nextDouble());
                double can = CAPACITY * part[i] * dt;
                // what would wait for longer than two of the tightest allowances is rejected
                double room = Math.max(0, CAPACITY * part[i] * 0.6 - queue[i] + can);
                double taken = Math.min(arrive, room);
                double done = Math.min(queue[i] + taken, can);
                queue[i] += taken - done;
                served += done;
                total[i] += arrive;
                double share = arrive == 0 ? 0 : 1 - taken / arrive;
                double wait = queue[i] / (CAPACITY * part[i]) / 0.3;
                AvailabilityStateMachine.State next = machine.next(states[i], new AvailabilitySignals(ProcessPhase.SERVING, RequestedMode.READY, true, 0, 0, 5, 0, 0,
                        share, 0, wait, 0.1, 0.1, 0.1, 0, 0), step * set.intervalUs());
                // the first ones are the start's own
                changes += next.status() != states[i].status() && step > 200 ? 1 : 0;
                states[i] = next;
                if (checks && step % POLL == offset[i]) {
                    weights[i] = Math.max(1, machine.report(next).weightPercent());
                }
            }
        }
        return new Outcome(served, changes, Arrays.stream(total).max().orElseThrow(), Arrays.stream(total).min().orElseThrow());
    }

    private static double[] alike(double first) {
        double[] part = new double[COUNT];
        Arrays.fill(part, 1);
        part[0] = first;
        return part;
    }

    @Test
    void checksNeverServeLessAndDoNotFlap() {
        for (long seed = 1; seed <= 5; seed++) {
            for (double load : new double[] {400, 780, 900, 1600, 4000}) {
                for (double first : new double[] {1, 0.3}) {
                    Outcome with = run(load, alike(first), true, seed);
                    Outcome without = run(load, alike(first), false, seed);
                    String what = "load " + load + ", first " + first + ": " + with + " against " + without;
                    // half a percent: which noise meets which queue
                    assertTrue(with.served() >= 0.995 * without.served(), what);
                    // two minutes less the start: once in ten seconds each at the most
                    assertTrue(with.changes() <= 10 * COUNT, what);
                }
            }
        }
    }

    @Test
    void aWeakOneIsSparedAndTheOthersAreNotStormed() {
        Outcome with = run(700, alike(0.3), true, 7);
        Outcome without = run(700, alike(0.3), false, 7);
        assertTrue(with.served() > 1.01 * without.served(), with + " against " + without);
        assertTrue(with.busiest() < 1.3 * without.busiest(), "no herd on one: " + with);
        assertTrue(with.idlest() > 0, "nobody is shut out");
    }
}
