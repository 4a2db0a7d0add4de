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
 * A worker starts, and the sum of what all dispatchers send it is held against what it bears: N requests of mean work in the span
 * that the settings name, and 2 x root of N + 2 by chance. The dispatchers are the shipped decisions on virtual time; they are told
 * of the start one after the other, and restart, or are relieved by a second process of their name, in the middle of it.
 */
class ColdFleetTest {
    /** The issue asks for 1,000 at the least; {@code -Dcold.draws} sets another count. */
    private static final int DRAWS = Integer.getInteger("cold.draws", 1_000);
    private static final int[] FLEETS = {1, 4, 20, 30, 100};
    private static final long SECOND = 1_000_000, COLD_US = 6 * SECOND, DAY_US = 4 * SECOND, NEW = 99;
    private static final int REQUESTS_MOST = 4_000;
    /** Nobody sends more than so many times what the whole fleet can do. */
    private static final double LOAD_MOST = 4;

    private record Due(long at, long number, LongConsumer what) { }

    /** One draw: the world, and the processes in it. */
    private static final class Day {
        final SplittableRandom random;
        final int dispatchers;
        final double allowed;
        final boolean hints;
        final boolean quotas;
        final boolean talk;
        final double from;
        final double multiple;
        final long span;
        final int workers;
        final double perS;
        final double meanUs = 200_000;
        final PriorityQueue<Due> agenda = new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::number));
        final List<Process> processes = new ArrayList<>();
        /** What told dispatchers sent to the new worker: when, and mean jobs. */
        final List<double[]> sent = new ArrayList<>();
        long now = 1_000 * SECOND;
        final long began = now;
        long numbers;

        Day(long seed, int dispatchers) {
            random = new SplittableRandom(seed);
            this.dispatchers = dispatchers;
            allowed = Math.exp(random.nextDouble(Math.log(1), Math.log(200)));
            hints = random.nextInt(4) > 0;
            quotas = random.nextInt(4) > 0;
            talk = random.nextBoolean();
            from = random.nextDouble(0.3, 0.6);
            multiple = random.nextInt(2, 5);
            span = SECOND * random.nextInt(1, 3);
            workers = random.nextInt(2, 5);
            // jobs a second that a warm worker does
            perS = allowed / (multiple * from * span / SECOND);
        }

        void at(long time, LongConsumer what) {
            agenda.add(new Due(time, numbers++, what));
        }

        Settings settings(int me) {
            double quota = random.nextDouble(0.77, 0.94) * workers * perS;
            return new Settings(List.of(new JobClass(Effect.SAFE, Group.ALL, 0, 300_000, 10 * SECOND, 2, -1, 1, 0)),
                    quotas ? List.of(new Tenant(0.6, 0.6 * quota), new Tenant(0.4, 0.4 * quota)) : List.of(), me, dispatchers, 0, false, true, 0,
                    5_000, new Limits(4, false, true, talk, true, 2 * SECOND),
                    new Rules(3 * SECOND, 20_000, from, COLD_US, multiple, span, 10 * SECOND), new Prices(0, 0, 15 * SECOND));
        }

        /** Mean jobs that it bears in a span, by its age then. */
        double bears(double at) {
            return allowed * (from + (1 - from) * Math.min(1, (at - began) / COLD_US)) / from;
        }

        void play() {
            for (int me = 0; me < dispatchers; me++) {
                new Process(this, me).begin(began - SECOND, false);
            }
            // some are restarted at once, and some are relieved by another process of their name
            if (random.nextBoolean()) {
                double part = random.nextDouble(0.1, 0.8);
                long when = began + random.nextLong(DAY_US);
                List.copyOf(processes).stream().filter(p -> random.nextDouble() < part).forEach(p -> at(when, t -> p.replaced(t, false)));
            } else if (random.nextBoolean()) {
                double part = random.nextDouble(0.1, 1);
                List.copyOf(processes).stream().filter(p -> random.nextDouble() < part).forEach(p -> at(began + random.nextLong(DAY_US), t -> p.replaced(t, true)));
            }
            double rate = Math.min(REQUESTS_MOST * 1e6 / (DAY_US + SECOND), random.nextDouble(1, LOAD_MOST) * workers * perS);
            for (double t = began - SECOND; t < began + DAY_US; t += -Math.log(1 - random.nextDouble()) / rate * 1e6) {
                // some see several times the mean
                int to = (int) (dispatchers * Math.pow(random.nextDouble(), 1.5));
                at((long) t, x -> request(to, x));
            }
            while (!agenda.isEmpty() && agenda.peek().at() < began + DAY_US) {
                Due d = agenda.poll();
                now = d.at();
                d.what().accept(now);
            }
        }

        private void request(int to, long t) {
            List<Process> serving = processes.stream().filter(p -> p.me == to && p.alive && !p.relieved).toList();
            if (!serving.isEmpty()) {
                serving.get(random.nextInt(serving.size())).request(t);
            }
        }

        /** By how much the fleet went past the bound in any span; 0 where it did not. */
        double over() {
            double most = 0;
            double sum = 0;
            Deque<double[]> lately = new ArrayDeque<>();
            for (double[] s : sent) {
                lately.addLast(s);
                sum += s[1];
                while (lately.peekFirst()[0] <= s[0] - span) {
                    sum -= lately.removeFirst()[1];
                }
                double n = bears(lately.peekFirst()[0]);
                most = Math.max(most, sum - (n + 2 * Math.sqrt(n) + 2));
            }
            return most;
        }

        double share() {
            return sent.stream().mapToDouble(s -> s[1]).sum() / (bears(began + DAY_US / 2) * DAY_US / span);
        }
    }

    /** One process of a dispatcher. */
    private static final class Process implements Dispatcher.Actions {
        final Day day;
        final int me;
        final DispatchPolicy module;
        final List<Double> works = new ArrayList<>();
        final Map<Long, Integer> attempts = new HashMap<>();
        boolean alive = true;
        boolean relieved;
        boolean told;

        Process(Day day, int me) {
            this.day = day;
            this.me = me;
            module = new DispatchPolicy(day.settings(me), day.random.nextLong(), this);
            day.processes.add(this);
        }

        private Worker worker(long id, long startedAt) {
            return new Worker(id, 1, State.READY, startedAt, 0, 0, 0);
        }

        void begin(long t, boolean knows) {
            module.start(t);
            List<Worker> list = new ArrayList<>();
            for (int i = 1; i < day.workers; i++) {
                list.add(worker(i, 0));
            }
            // the new one is known from before, as long there, or not at all
            boolean before = day.random.nextBoolean();
            if (before) {
                list.add(worker(NEW, 0));
            }
            module.listUpdated(t, ListUpdate.SAVED, list);
            module.listUpdated(t, ListUpdate.CHANGES, List.of());
            day.at(Math.max(t, day.began) + day.random.nextLong(knows ? SECOND / 5 : 2 * SECOND), x -> {
                if (alive) {
                    told = true;
                    module.listUpdated(x, ListUpdate.CHANGES, List.of(worker(NEW, day.began)));
                }
            });
        }

        void replaced(long t, boolean beside) {
            if (beside) {
                relieved = true;
                module.superseded();
            } else {
                alive = false;
            }
            Process next = new Process(day, me);
            next.begin(t, true);
        }

        void request(long t) {
            // hints are rough, and some sites give none
            double work = day.meanUs * -Math.log(1 - day.random.nextDouble());
            works.add(work);
            module.requested(t, new Request(works.size() - 1, 0, day.random.nextInt(2), 10 * SECOND,
                    day.hints ? work * Math.exp(0.3 * (day.random.nextDouble() + day.random.nextDouble() - 1)) : 0, 1, 0, 0));
        }

        private void later(long after, Runnable what) {
            day.at(day.now + after, t -> {
                if (alive) {
                    what.run();
                }
            });
        }

        @Override
        public void send(long request, long worker, long waitUs, long startUs) {
            double work = works.get((int) request);
            if (worker == NEW && told) {
                day.sent.add(new double[] {day.now, work / day.meanUs});
            }
            int attempt = attempts.merge(request, 1, Integer::sum) - 1;
            later(2_000, () -> module.started(day.now, request, attempt));
            later(2_000 + (long) work, () -> module.ended(day.now, request, attempt, true, Outcome.SERVED, null));
        }

        @Override
        public void cancel(long request, int attempt) { }

        @Override
        public void refuse(long request, long retryAfterUs, Dispatcher.Refusal why) { }

        @Override
        public void fail(long request) { }

        @Override
        public void timer(long afterUs, long token) {
            later(afterUs, () -> module.elapsed(day.now, token));
        }

        @Override
        public void sendToSibling(int sibling, byte[] message) {
            day.at(day.now + day.random.nextLong(2_300, 31_000), t -> day.processes.stream().filter(p -> p.me == sibling && p.alive)
                    .forEach(p -> p.module.messageReceived(t, me, message)));
        }

        @Override
        public void watch() { }
    }

    /**
     * Who may send, and how much, comes from a hash that all compute alike, and no coin is thrown: what each may send adds up to no
     * more than the worker bears, whatever the number of dispatchers.
     */
    @Test
    void theSumOfAllKeepsToWhatAStartingWorkerBears() {
        int over = 0;
        double worst = 0;
        // without and with hints, each without and with quotas
        double[] share = new double[4];
        int[] draws = new int[4];
        StringBuilder which = new StringBuilder();
        for (int i = 0; i < DRAWS; i++) {
            Day day = new Day(i, FLEETS[i % FLEETS.length]);
            day.play();
            if (day.over() > 0) {
                over++;
                worst = Math.max(worst, day.over());
                which.append(' ').append(i).append(" (").append(day.dispatchers).append(" dispatchers, N ").append(Math.round(day.allowed))
                        .append(day.hints ? ", hints" : ", none").append(day.quotas ? ", quotas" : "").append(String.format(", %.1f too many)", day.over()));
            }
            int kind = (day.hints ? 2 : 0) + (day.quotas ? 1 : 0);
            share[kind] += day.share();
            draws[kind]++;
        }
        System.out.printf("cold workers: over what they bear in %d of %d draws%s; used of it: %.3f, with quotas %.3f, with hints %.3f, with both %.3f%n", over,
                DRAWS, which, share[0] / draws[0], share[1] / draws[1], share[2] / draws[2], share[3] / draws[3]);
        for (int kind = 0; kind < share.length; kind++) {
            assertTrue(share[kind] > 0, "of the draws " + kind + " none used a starting worker: they show nothing");
        }
        assertEquals(0, over, which.toString());
    }
}
