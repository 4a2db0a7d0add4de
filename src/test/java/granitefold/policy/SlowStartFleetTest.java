package granitefold.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.Dispatcher;
import granitefold.Dispatcher.Effect;
import granitefold.Dispatcher.Group;
import granitefold.Dispatcher.JobClass;
import granitefold.Dispatcher.Limits;
import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.Prices;
import granitefold.Dispatcher.Request;
import granitefold.Dispatcher.Rules;
import granitefold.Dispatcher.Settings;
import granitefold.Dispatcher.State;
import granitefold.Dispatcher.Tenant;
import granitefold.Dispatcher.Worker;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.Test;

/**
 * Checks the sum of what all dispatchers send to a starting worker against what the worker can take: N requests of mean work in the
 * overload window of the settings, plus 2 * sqrt(N) + 2 for random variation. The dispatchers run the production policy on virtual
 * time. They are notified of the start one after the other, and restart, or are superseded by a second process, meanwhile.
 */
class SlowStartFleetTest {
    /** Number of random runs; at least 1,000 are required. {@code -Dcold.draws} sets another number. */
    private static final int RUNS = Integer.getInteger("cold.draws", 1_000);
    private static final int[] FLEETS = {1, 4, 20, 30, 100};
    private static final long SECOND = 1_000_000, SLOW_START_US = 6 * SECOND, RUN_US = 4 * SECOND, NEW_WORKER = 99;
    private static final int MAX_REQUESTS = 4_000;
    /** Maximum load as a multiple of what the whole fleet can do. */
    private static final double MAX_LOAD = 4;

    private record ScheduledEvent(long at, long number, LongConsumer action) { }

    /** One random run: its parameters, its events and the processes. */
    private static final class Simulation {
        final SplittableRandom random;
        final int dispatchers;
        final double allowedJobs;
        final boolean hints;
        final boolean quotas;
        final boolean siblingMessages;
        final double initialShare;
        final double overloadMultiple;
        final long windowUs;
        final int workers;
        final double workerRatePerS;
        final double meanUs = 200_000;
        final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
                Comparator.comparingLong(ScheduledEvent::at).thenComparingLong(ScheduledEvent::number));
        final List<Process> processes = new ArrayList<>();
        /** Sends to the new worker by dispatchers that were notified of its start: time, and work in mean jobs. */
        final List<double[]> sent = new ArrayList<>();
        long now = 1_000 * SECOND;
        final long startedAt = now;
        long nextEventNumber;

        Simulation(long seed, int dispatchers) {
            random = new SplittableRandom(seed);
            this.dispatchers = dispatchers;
            allowedJobs = Math.exp(random.nextDouble(Math.log(1), Math.log(200)));
            hints = random.nextInt(4) > 0;
            quotas = random.nextInt(4) > 0;
            siblingMessages = random.nextBoolean();
            initialShare = random.nextDouble(0.3, 0.6);
            overloadMultiple = random.nextInt(2, 5);
            windowUs = SECOND * random.nextInt(1, 3);
            workers = random.nextInt(2, 5);
            // jobs per second that a worker with all of its capacity does
            workerRatePerS = allowedJobs / (overloadMultiple * initialShare * windowUs / SECOND);
        }

        void at(long time, LongConsumer action) {
            events.add(new ScheduledEvent(time, nextEventNumber++, action));
        }

        Settings settings(int selfIndex) {
            double quota = random.nextDouble(0.77, 0.94) * workers * workerRatePerS;
            return new Settings(List.of(new JobClass(Effect.SAFE, Group.ALL, 0, 300_000, 10 * SECOND, 2, -1, 1, 0)),
                    quotas ? List.of(new Tenant(0.6, 0.6 * quota), new Tenant(0.4, 0.4 * quota)) : List.of(),
                    selfIndex, dispatchers, 0, false, true, 0, 5_000, new Limits(4, false, true, siblingMessages, true, 2 * SECOND),
                    new Rules(3 * SECOND, 20_000, initialShare, SLOW_START_US, overloadMultiple, windowUs, 10 * SECOND),
                    new Prices(0, 0, 15 * SECOND));
        }

        /** Returns the mean jobs that the new worker can take in a window, by its age. */
        double capacityJobs(double at) {
            return allowedJobs * (initialShare + (1 - initialShare) * Math.min(1, (at - startedAt) / SLOW_START_US)) / initialShare;
        }

        void run() {
            for (int index = 0; index < dispatchers; index++) {
                new Process(this, index).begin(startedAt - SECOND, false);
            }
            // in some runs dispatchers restart at the same time, in others they are superseded by another process
            if (random.nextBoolean()) {
                double share = random.nextDouble(0.1, 0.8);
                long restartAt = startedAt + random.nextLong(RUN_US);
                List.copyOf(processes).stream().filter(p -> random.nextDouble() < share).forEach(p -> at(restartAt, t -> p.replace(t, false)));
            } else if (random.nextBoolean()) {
                double share = random.nextDouble(0.1, 1);
                List.copyOf(processes).stream().filter(p -> random.nextDouble() < share)
                        .forEach(p -> at(startedAt + random.nextLong(RUN_US), t -> p.replace(t, true)));
            }
            double rate = Math.min(MAX_REQUESTS * 1e6 / (RUN_US + SECOND), random.nextDouble(1, MAX_LOAD) * workers * workerRatePerS);
            for (double t = startedAt - SECOND; t < startedAt + RUN_US; t += -Math.log(1 - random.nextDouble()) / rate * 1e6) {
                // some dispatchers get several times the mean load
                int dispatcher = (int) (dispatchers * Math.pow(random.nextDouble(), 1.5));
                at((long) t, x -> request(dispatcher, x));
            }
            while (!events.isEmpty() && events.peek().at() < startedAt + RUN_US) {
                ScheduledEvent event = events.poll();
                now = event.at();
                event.action().accept(now);
            }
        }

        private void request(int dispatcher, long t) {
            List<Process> serving = processes.stream().filter(p -> p.index == dispatcher && p.alive && !p.superseded).toList();
            if (!serving.isEmpty()) {
                serving.get(random.nextInt(serving.size())).request(t);
            }
        }

        /** Returns by how many jobs the fleet exceeded the bound in any window; 0 if it did not. */
        double excessJobs() {
            double maxExcess = 0;
            double sum = 0;
            Deque<double[]> window = new ArrayDeque<>();
            for (double[] s : sent) {
                window.addLast(s);
                sum += s[1];
                while (window.peekFirst()[0] <= s[0] - windowUs) {
                    sum -= window.removeFirst()[1];
                }
                double n = capacityJobs(window.peekFirst()[0]);
                maxExcess = Math.max(maxExcess, sum - (n + 2 * Math.sqrt(n) + 2));
            }
            return maxExcess;
        }

        /** Returns the share of the new worker's capacity that was used. */
        double usedShare() {
            return sent.stream().mapToDouble(s -> s[1]).sum() / (capacityJobs(startedAt + RUN_US / 2) * RUN_US / windowUs);
        }
    }

    /** One process of a dispatcher. */
    private static final class Process implements Dispatcher.Actions {
        final Simulation simulation;
        final int index;
        final DispatchPolicy policy;
        final List<Double> works = new ArrayList<>();
        final Map<Long, Integer> attempts = new HashMap<>();
        boolean alive = true;
        boolean superseded;
        boolean notified;

        Process(Simulation simulation, int index) {
            this.simulation = simulation;
            this.index = index;
            policy = new DispatchPolicy(simulation.settings(index), simulation.random.nextLong(), this);
            simulation.processes.add(this);
        }

        private Worker worker(long id, long startedAt) {
            return new Worker(id, 1, State.READY, startedAt, 0, 0, 0);
        }

        void begin(long t, boolean replacement) {
            policy.start(t);
            List<Worker> list = new ArrayList<>();
            for (int i = 1; i < simulation.workers; i++) {
                list.add(worker(i, 0));
            }
            // the saved list contains the new worker as an old one, or does not contain it
            boolean saved = simulation.random.nextBoolean();
            if (saved) {
                list.add(worker(NEW_WORKER, 0));
            }
            policy.listUpdated(t, ListUpdate.SAVED, list);
            policy.listUpdated(t, ListUpdate.CHANGES, List.of());
            simulation.at(Math.max(t, simulation.startedAt) + simulation.random.nextLong(replacement ? SECOND / 5 : 2 * SECOND), x -> {
                if (alive) {
                    notified = true;
                    policy.listUpdated(x, ListUpdate.CHANGES, List.of(worker(NEW_WORKER, simulation.startedAt)));
                }
            });
        }

        void replace(long t, boolean superseding) {
            if (superseding) {
                superseded = true;
                policy.superseded();
            } else {
                alive = false;
            }
            Process next = new Process(simulation, index);
            next.begin(t, true);
        }

        void request(long t) {
            // hints are rough, and some sites give none
            double work = simulation.meanUs * -Math.log(1 - simulation.random.nextDouble());
            works.add(work);
            policy.requested(t, new Request(works.size() - 1, 0, simulation.random.nextInt(2), 10 * SECOND,
                    simulation.hints ? work * Math.exp(0.3 * (simulation.random.nextDouble() + simulation.random.nextDouble() - 1)) : 0, 1, 0, 0));
        }

        private void later(long afterUs, Runnable action) {
            simulation.at(simulation.now + afterUs, t -> {
                if (alive) {
                    action.run();
                }
            });
        }

        @Override
        public void send(long request, long worker, long waitUs, long startUs) {
            double work = works.get((int) request);
            if (worker == NEW_WORKER && notified) {
                simulation.sent.add(new double[] {simulation.now, work / simulation.meanUs});
            }
            int attempt = attempts.merge(request, 1, Integer::sum) - 1;
            later(2_000, () -> policy.started(simulation.now, request, attempt));
            later(2_000 + (long) work, () -> policy.ended(simulation.now, request, attempt, true, Outcome.SERVED, null));
        }

        @Override
        public void cancel(long request, int attempt) { }

        @Override
        public void refuse(long request, long retryAfterUs, Dispatcher.Refusal why) { }

        @Override
        public void fail(long request) { }

        @Override
        public void timer(long afterUs, long token) {
            later(afterUs, () -> policy.elapsed(simulation.now, token));
        }

        @Override
        public void sendToSibling(int sibling, byte[] message) {
            simulation.at(simulation.now + simulation.random.nextLong(2_300, 31_000), t -> simulation.processes.stream()
                    .filter(p -> p.index == sibling && p.alive).forEach(p -> p.policy.messageReceived(t, index, message)));
        }

        @Override
        public void watch() { }
    }

    /**
     * Which dispatchers may send, and how much, follows from a hash that is the same on all of them, not from chance: their parts
     * add up to no more than the worker can take, whatever the number of dispatchers.
     */
    @Test
    void allDispatchersTogetherStayWithinTheSlowStartBudget() {
        int exceeded = 0;
        double maxExcess = 0;
        // without and with hints, each without and with quotas
        double[] usedShare = new double[4];
        int[] runs = new int[4];
        StringBuilder exceededRuns = new StringBuilder();
        for (int i = 0; i < RUNS; i++) {
            Simulation simulation = new Simulation(i, FLEETS[i % FLEETS.length]);
            simulation.run();
            if (simulation.excessJobs() > 0) {
                exceeded++;
                maxExcess = Math.max(maxExcess, simulation.excessJobs());
                exceededRuns.append(' ').append(i).append(" (").append(simulation.dispatchers).append(" dispatchers, N ")
                        .append(Math.round(simulation.allowedJobs)).append(simulation.hints ? ", hints" : ", none")
                        .append(simulation.quotas ? ", quotas" : "").append(String.format(", %.1f too many)", simulation.excessJobs()));
            }
            int kind = (simulation.hints ? 2 : 0) + (simulation.quotas ? 1 : 0);
            usedShare[kind] += simulation.usedShare();
            runs[kind]++;
        }
        System.out.printf("slow start: budget exceeded in %d of %d runs%s; share used: %.3f, with quotas %.3f, with hints %.3f, with both %.3f%n",
                exceeded, RUNS, exceededRuns, usedShare[0] / runs[0], usedShare[1] / runs[1], usedShare[2] / runs[2], usedShare[3] / runs[3]);
        for (int kind = 0; kind < usedShare.length; kind++) {
            assertTrue(usedShare[kind] > 0, "no run of kind " + kind + " used the starting worker");
        }
        assertEquals(0, exceeded, exceededRuns.toString());
    }
}
