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

/** Experiments with a small fleet and a stand-in balancer; each prints a table. */
@Command(name = "experiment", mixinStandardHelpOptions = true, subcommands = {Experiment.Demo.class, Experiment.DrainRun.class,
    Experiment.Kill.class, Experiment.Slow.class, Experiment.Restart.class})
public final class Experiment implements Callable<Integer> {
    private static final String QUICK = "availability.slow-start = 1s\n";
    private static final long ANSWERS_S = 30;

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
        @Option(names = "--rate", defaultValue = "400", description = "Requests a second (${DEFAULT-VALUE}).")
        protected double rate;
        @Option(names = "--work", defaultValue = "5000", description = "Work of each, microseconds (${DEFAULT-VALUE}).")
        protected long workUs;
        @Option(names = "--dispatchers", defaultValue = "3")
        protected int dispatchers;
        @Option(names = "--runs", defaultValue = "1", description = "Times each row is run (${DEFAULT-VALUE}).")
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

        /** One row for each kind of check: the same load, the same trouble a third of the way through. */
        protected final Integer compare(Trouble trouble) throws Exception {
            head();
            for (int run = 0; run < runs; run++) {
                for (CheckRules rules : List.of(CheckRules.NONE, CheckRules.NGINX, CheckRules.CLOUD, CheckRules.ENVOY,
                        CheckRules.AGENT)) {
                    try (Fleet fleet = new Fleet(4, 8).startDispatchers(dispatchers, QUICK + "clients.envoy-headers = true\n");
                            Balancer balancer = fleet.balancer(rules)) {
                        settle(fleet, balancer);
                        long requests = (long) (rate * 9);
                        OpenLoopLoad load = new OpenLoopLoad("compare", balancer, rate, workUs).begin(requests);
                        while (load.due() < requests / 3) {
                            Thread.sleep(10);
                        }
                        long before = balancer.sent(fleet.dispatchers.get(0).name);
                        trouble.on(fleet, load);
                        load.await(ANSWERS_S);
                        row(rules.name(), load, (balancer.sent(fleet.dispatchers.get(0).name) - before)
                                + " sent there after it began");
                    }
                }
            }
            return 0;
        }

        /** Waits until the balancer has all servers in. */
        protected static void settle(Fleet fleet, Balancer balancer) throws InterruptedException {
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(ANSWERS_S);
            while (!fleet.dispatchers.stream().allMatch(d -> balancer.eligible(d.name)) && System.nanoTime() - until < 0) {
                Thread.sleep(10);
            }
        }
    }

    @Command(name = "demo", mixinStandardHelpOptions = true,
            description = "Two dispatchers behind an agent-checking balancer: load, a drain, and back.")
    static final class Demo extends Run {
        @Override
        public Integer call() throws Exception {
            try (Fleet fleet = new Fleet(3, 6).startDispatchers(2, QUICK); Balancer balancer = fleet.balancer(CheckRules.AGENT)) {
                settle(fleet, balancer);
                Fleet.Dispatcher first = fleet.dispatchers.get(0);
                System.out.print(first.control("status"));
                OpenLoopLoad load = new OpenLoopLoad("demo", balancer, rate, workUs).begin((long) (rate * 8));
                Thread.sleep(2000);
                System.out.print("drain: " + first.control("drain", "--wait"));
                Thread.sleep(3000);
                System.out.print("ready: " + first.control("ready"));
                load.await(ANSWERS_S);
                head();
                row("haproxy agent-check", load, first.name + " had " + balancer.sent(first.name) + " requests, "
                        + fleet.jobsRepeated() + " jobs ran twice");
                return load.count(Balancer.Outcome.LOST) == 0 ? 0 : 1;
            }
        }
    }

    @Command(name = "drain", mixinStandardHelpOptions = true,
            description = "One of the dispatchers is drained under load, once for each protocol.")
    static final class DrainRun extends Run {
        @Override
        public Integer call() throws Exception {
            head();
            for (int run = 0; run < runs; run++) {
                for (CheckRules rules : List.of(CheckRules.AGENT, CheckRules.HTTP_404, CheckRules.ENVOY, CheckRules.CLOUD)) {
                    try (Fleet fleet = new Fleet(4, 8).startDispatchers(dispatchers, QUICK + "clients.envoy-headers = true\n");
                            Balancer balancer = fleet.balancer(rules)) {
                        Result r = drain(fleet, balancer, rate, workUs, (long) (rate * 10));
                        row(rules.name(), r.load, String.format(Locale.ROOT, "new traffic ended after %.2f s, %d ran twice",
                                r.endedMs / 1000.0, fleet.jobsRepeated()));
                    }
                }
            }
            return 0;
        }
    }

    /** What a drain under load came to; {@code endedMs}: from the answer to the drain's word to the last request sent there. */
    record Result(OpenLoopLoad load, long endedMs) { }

    /** Drains the first dispatcher in the middle of a load. */
    static Result drain(Fleet fleet, Balancer balancer, double rate, long workUs, long requests) throws Exception {
        Run.settle(fleet, balancer);
        Fleet.Dispatcher first = fleet.dispatchers.get(0);
        OpenLoopLoad load = new OpenLoopLoad("drain", balancer, rate, workUs).begin(requests);
        while (load.due() < requests / 3) {
            Thread.sleep(10);
        }
        first.control("drain");
        long told = Balancer.now();
        if (!load.await(ANSWERS_S + (long) (requests / rate))) {
            throw new IllegalStateException("some requests have no answer");
        }
        return new Result(load, Math.max(0, balancer.lastSent(first.name) - told));
    }

    @Command(name = "kill", mixinStandardHelpOptions = true,
            description = "One of the dispatchers is killed under load and stays away, with and without checks.")
    static final class Kill extends Run {
        @Override
        public Integer call() throws Exception {
            return compare((fleet, load) -> fleet.dispatchers.get(0).kill());
        }
    }

    @Command(name = "slow", mixinStandardHelpOptions = true,
            description = "One of the dispatchers stands still for most of the time, with and without checks.")
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
            description = "The only dispatcher is killed and comes back, with and without its state file, paired by seed.")
    static final class Restart extends Run {
        private static final int BEFORE_S = 8, AWAY_MS = 2000, AFTER_S = 14, WINDOW = 10;
        private static final double WITHIN = 0.02;
        @Option(names = "--pairs", defaultValue = "10", description = "Pairs of runs (${DEFAULT-VALUE}).")
        private int pairs;

        @Override
        public Integer call() throws Exception {
            System.out.printf("%4s %22s %22s %22s%n", "pair", "level before", "back after, s", "in time, first 2 s");
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

        /** Level before the kill, seconds until service is back at it, share served in time in the first 2 s. */
        private double[] run(int seed, boolean file) throws Exception {
            Path folder = Files.createTempDirectory("restart");
            try (Fleet fleet = new Fleet(4, 6)) {
                for (int i = 0; i < fleet.workers.size(); i++) {
                    fleet.workers.get(i).slowdown(0.6 + 0.6 * i);
                    fleet.workers.get(i).keeps(10, 150_000);
                }
                Fleet.Dispatcher d = fleet.dispatcher(QUICK + (file ? "state.dir = \"" + folder + "\"\n" : ""),
                        fleet.discovery.listJson(null));
                d.start();
                d.awaitLog("phase: SERVING");
                try (Balancer balancer = fleet.balancer(CheckRules.NONE)) {
                    OpenLoopLoad load = new OpenLoopLoad("r" + seed, balancer, rate, workUs).keys(24, seed).begin(Long.MAX_VALUE);
                    Thread.sleep(BEFORE_S * 1000L);
                    int killed = load.slice();
                    d.kill();
                    Thread.sleep(AWAY_MS);
                    d.start();
                    d.awaitLog("phase: SERVING");
                    int back = load.slice();
                    Thread.sleep(AFTER_S * 1000L);
                    load.stop();
                    load.await(ANSWERS_S);
                    double level = load.timely(killed - 35, killed - 5);
                    int slices = back;
                    while (slices < back + AFTER_S * 10 - WINDOW && load.timely(slices, slices + WINDOW) < level - WITHIN) {
                        slices++;
                    }
                    return new double[] {level, (slices - back) / 10.0, load.timely(back, back + 20)};
                }
            } finally {
                for (Path p : Files.walk(folder).sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(p);
                }
            }
        }
    }

    /** What happens to the fleet in the middle of a load. */
    interface Trouble {
        void on(Fleet fleet, OpenLoopLoad load) throws IOException, InterruptedException;
    }
}
