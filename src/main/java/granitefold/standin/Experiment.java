package granitefold.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.apache.commons.math3.stat.descriptive.rank.Median;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Experiments with a small fleet behind a stand-in load balancer; each prints a table. */
@Command(name = "experiment", mixinStandardHelpOptions = true, subcommands = {Experiment.Demo.class, Experiment.DrainRun.class,
    Experiment.Kill.class, Experiment.Slow.class, Experiment.Restart.class})
public final class Experiment implements Callable<Integer> {
    private static final String SHORT_SLOW_START = "availability.slow-start = 1s\n";
    private static final long ANSWER_TIMEOUT_S = 30;

    private Experiment() { }

    public static void main(String[] args) {
        System.exit(new CommandLine(new Experiment()).execute(args));
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return CommandLine.ExitCode.USAGE;
    }

    abstract static class Run implements Callable<Integer> {
        @Option(names = "--rate", defaultValue = "400", description = "Requests per second (${DEFAULT-VALUE}).")
        protected double rate;
        @Option(names = "--work", defaultValue = "5000", description = "Work of a request, in microseconds (${DEFAULT-VALUE}).")
        protected long workUs;
        @Option(names = "--dispatchers", defaultValue = "3")
        protected int dispatchers;
        @Option(names = "--runs", defaultValue = "1", description = "Runs per row (${DEFAULT-VALUE}).")
        protected int runs;

        protected static void head() {
            System.out.printf("%-24s %7s %7s %8s %6s %6s %9s %9s %s%n", "checks", "asked", "served", "rejected", "failed",
                    "lost", "p50 ms", "p99 ms", "note");
        }

        protected static void row(String name, OpenLoopLoad load, String note) {
            System.out.printf(Locale.ROOT, "%-24s %7d %7d %8d %6d %6d %9.1f %9.1f %s%n", name, load.due(),
                    load.count(Balancer.Outcome.SERVED), load.count(Balancer.Outcome.REJECTED),
                    load.count(Balancer.Outcome.FAILED), load.count(Balancer.Outcome.LOST), load.latencyMs(50),
                    load.latencyMs(99), note);
        }

        /** Prints one row per kind of check, each with the same load and the same fault after a third of it. */
        protected final Integer compare(FleetFault fault) throws Exception {
            head();
            for (int run = 0; run < runs; run++) {
                for (CheckRules rules : List.of(CheckRules.NONE, CheckRules.NGINX, CheckRules.CLOUD, CheckRules.ENVOY,
                        CheckRules.AGENT)) {
                    try (Fleet fleet = new Fleet(4, 8).startDispatchers(dispatchers, SHORT_SLOW_START + "clients.envoy-headers = true\n");
                            Balancer balancer = fleet.balancer(rules)) {
                        awaitAllEligible(fleet, balancer);
                        long requests = (long) (rate * 9);
                        OpenLoopLoad load = new OpenLoopLoad("compare", balancer, rate, workUs).start(requests);
                        while (load.due() < requests / 3) {
                            Thread.sleep(10);
                        }
                        long before = balancer.sent(fleet.dispatchers.get(0).name);
                        fault.inject(fleet, load);
                        load.await(ANSWER_TIMEOUT_S);
                        row(rules.name(), load, (balancer.sent(fleet.dispatchers.get(0).name) - before)
                                + " sent there after the fault began");
                    }
                }
            }
            return 0;
        }

        /** Waits until all servers are eligible. */
        protected static void awaitAllEligible(Fleet fleet, Balancer balancer) throws InterruptedException {
            long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(ANSWER_TIMEOUT_S);
            while (!fleet.dispatchers.stream().allMatch(d -> balancer.eligible(d.name)) && System.nanoTime() - deadlineNs < 0) {
                Thread.sleep(10);
            }
        }
    }

    @Command(name = "demo", mixinStandardHelpOptions = true,
            description = "Two dispatchers behind a balancer with agent checks: load, a drain, and the return to service.")
    static final class Demo extends Run {
        @Override
        public Integer call() throws Exception {
            try (Fleet fleet = new Fleet(3, 6).startDispatchers(2, SHORT_SLOW_START); Balancer balancer = fleet.balancer(CheckRules.AGENT)) {
                awaitAllEligible(fleet, balancer);
                Fleet.Dispatcher first = fleet.dispatchers.get(0);
                System.out.print(first.control("status"));
                OpenLoopLoad load = new OpenLoopLoad("demo", balancer, rate, workUs).start((long) (rate * 8));
                Thread.sleep(2000);
                System.out.print("drain: " + first.control("drain", "--wait"));
                Thread.sleep(3000);
                System.out.print("ready: " + first.control("ready"));
                load.await(ANSWER_TIMEOUT_S);
                head();
                row("haproxy agent-check", load, first.name + " had " + balancer.sent(first.name) + " requests, "
                        + fleet.jobsRepeated() + " jobs ran twice");
                return load.count(Balancer.Outcome.LOST) == 0 ? 0 : 1;
            }
        }
    }

    @Command(name = "drain", mixinStandardHelpOptions = true,
            description = "One of the dispatchers is drained under load, once for each kind of check.")
    static final class DrainRun extends Run {
        @Override
        public Integer call() throws Exception {
            head();
            for (int run = 0; run < runs; run++) {
                for (CheckRules rules : List.of(CheckRules.AGENT, CheckRules.HTTP_404, CheckRules.ENVOY, CheckRules.CLOUD)) {
                    try (Fleet fleet = new Fleet(4, 8).startDispatchers(dispatchers, SHORT_SLOW_START + "clients.envoy-headers = true\n");
                            Balancer balancer = fleet.balancer(rules)) {
                        Result r = drain(fleet, balancer, rate, workUs, (long) (rate * 10));
                        row(rules.name(), r.load, String.format(Locale.ROOT, "new requests ended after %.2f s, %d jobs ran twice",
                                r.endedMs / 1000.0, fleet.jobsRepeated()));
                    }
                }
            }
            return 0;
        }
    }

    /** The result of a drain under load; {@code endedMs}: from the reply to the drain command to the last request sent there. */
    record Result(OpenLoopLoad load, long endedMs) { }

    /** Drains the first dispatcher in the middle of a load. */
    static Result drain(Fleet fleet, Balancer balancer, double rate, long workUs, long requests) throws Exception {
        Run.awaitAllEligible(fleet, balancer);
        Fleet.Dispatcher first = fleet.dispatchers.get(0);
        OpenLoopLoad load = new OpenLoopLoad("drain", balancer, rate, workUs).start(requests);
        while (load.due() < requests / 3) {
            Thread.sleep(10);
        }
        first.control("drain");
        long drainedMs = Balancer.nowMs();
        if (!load.await(ANSWER_TIMEOUT_S + (long) (requests / rate))) {
            throw new IllegalStateException("some requests were not answered in time");
        }
        return new Result(load, Math.max(0, balancer.lastSentMs(first.name) - drainedMs));
    }

    @Command(name = "kill", mixinStandardHelpOptions = true,
            description = "One of the dispatchers is killed under load and not restarted, with and without checks.")
    static final class Kill extends Run {
        @Override
        public Integer call() throws Exception {
            return compare((fleet, load) -> fleet.dispatchers.get(0).kill());
        }
    }

    @Command(name = "slow", mixinStandardHelpOptions = true,
            description = "One of the dispatchers is paused for most of the time, with and without checks.")
    static final class Slow extends Run {
        @Override
        public Integer call() throws Exception {
            return compare((fleet, load) -> {
                Fleet.Dispatcher slow = fleet.dispatchers.get(0);
                while (!load.await(0)) {
                    slow.signal("STOP");
                    Thread.sleep(300);
                    slow.signal("CONT");
                    Thread.sleep(100);
                }
            });
        }
    }

    @Command(name = "restart", mixinStandardHelpOptions = true,
            description = "The only dispatcher is killed and restarted, with and without its state file, paired by seed.")
    static final class Restart extends Run {
        private static final int BEFORE_S = 8, DOWN_MS = 2000, AFTER_S = 14, WINDOW_SLICES = 10;
        private static final double LEVEL_TOLERANCE = 0.02;
        @Option(names = "--pairs", defaultValue = "10", description = "Pairs of runs (${DEFAULT-VALUE}).")
        private int pairs;

        @Override
        public Integer call() throws Exception {
            System.out.printf("%4s %22s %22s %22s%n", "pair", "on-time share before", "recovered after, s", "on time, first 2 s");
            System.out.printf("%4s %10s %11s %10s %11s %10s %11s%n", "", "with", "without", "with", "without", "with", "without");
            double[] with = new double[pairs];
            double[] without = new double[pairs];
            for (int i = 0; i < pairs; i++) {
                double[] a = run(i, true);
                double[] b = run(i, false);
                with[i] = a[1];
                without[i] = b[1];
                System.out.printf(Locale.ROOT, "%4d %10.3f %11.3f %10.1f %11.1f %10.3f %11.3f%n", i + 1, a[0], b[0], a[1], b[1],
                        a[2], b[2]);
            }
            Median median = new Median();
            System.out.printf(Locale.ROOT, "median %.2f s with, %.2f s without%n", median.evaluate(with), median.evaluate(without));
            return 0;
        }

        /**
         * Returns the share of requests served on time before the kill, the seconds after the restart until it is reached
         * again, and the share in the first 2 s after the restart.
         */
        private double[] run(int seed, boolean withState) throws Exception {
            Path folder = Files.createTempDirectory("restart");
            try (Fleet fleet = new Fleet(4, 6)) {
                for (int i = 0; i < fleet.workers.size(); i++) {
                    fleet.workers.get(i).slowdown(0.6 + 0.6 * i);
                    fleet.workers.get(i).cacheKeys(10, 150_000);
                }
                Fleet.Dispatcher d = fleet.dispatcher(SHORT_SLOW_START + (withState ? "state.dir = \"" + folder + "\"\n" : ""),
                        fleet.discovery.listJson(null));
                d.start();
                d.awaitLog("phase: SERVING");
                try (Balancer balancer = fleet.balancer(CheckRules.NONE)) {
                    OpenLoopLoad load = new OpenLoopLoad("r" + seed, balancer, rate, workUs).keys(24, seed).start(Long.MAX_VALUE);
                    Thread.sleep(BEFORE_S * 1000L);
                    int killSlice = load.slice();
                    d.kill();
                    Thread.sleep(DOWN_MS);
                    d.start();
                    d.awaitLog("phase: SERVING");
                    int restartSlice = load.slice();
                    Thread.sleep(AFTER_S * 1000L);
                    load.stop();
                    load.await(ANSWER_TIMEOUT_S);
                    double level = load.onTimeShare(killSlice - 35, killSlice - 5);
                    int slice = restartSlice;
                    while (slice < restartSlice + AFTER_S * 10 - WINDOW_SLICES
                            && load.onTimeShare(slice, slice + WINDOW_SLICES) < level - LEVEL_TOLERANCE) {
                        slice++;
                    }
                    return new double[] {level, (slice - restartSlice) / 10.0, load.onTimeShare(restartSlice, restartSlice + 20)};
                }
            } finally {
                for (Path p : Files.walk(folder).sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(p);
                }
            }
        }
    }

    /** A fault that is injected into the fleet under load. */
    interface FleetFault {
        void inject(Fleet fleet, OpenLoopLoad load) throws IOException, InterruptedException;
    }
}
