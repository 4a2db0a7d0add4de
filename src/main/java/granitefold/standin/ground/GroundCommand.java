package granitefold.standin.ground;

import granitefold.operator.InvalidFileException;
import granitefold.standin.history.HistoryChecker;
import granitefold.standin.history.History;
import granitefold.standin.history.Violation;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The test bed's command line. Exit status: 0 if no rule is violated, 1 if one is, 2 for an invalid scenario, 64 for wrong usage. */
@Command(name = "granitefold-standin", mixinStandardHelpOptions = true, exitCodeOnInvalidInput = 64,
        description = "Tests dispatcher processes under injected faults.",
        subcommands = {GroundCommand.Run.class, GroundCommand.CheckHistory.class, GroundCommand.Show.class, RolloutExperiment.class,
            granitefold.standin.Experiment.class, granitefold.standin.soak.SoakCommand.class,
            granitefold.standin.model.StarvationCommand.class,
            CommandLine.HelpCommand.class})
public final class GroundCommand implements Callable<Integer> {
    private static final int BROKEN_RULE = 1, BROKEN_FILE = 2, USAGE = 64;
    private static final double UPPER_QUANTILE = 0.975;

    @Spec
    private CommandSpec spec;

    private GroundCommand() { }

    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true");
        System.exit(execute(args));
    }

    static int execute(String... args) {
        CommandLine line = new CommandLine(new GroundCommand());
        line.getSubcommands().values().forEach(c -> {
            if (c.getCommandSpec().exitCodeOnInvalidInput() != BROKEN_FILE) {
                c.getCommandSpec().exitCodeOnInvalidInput(USAGE);
            }
        });
        line.setExecutionExceptionHandler((e, command, result) -> {
            if (e instanceof InvalidFileException broken) {
                broken.problems().forEach(command.getErr()::println);
                return BROKEN_FILE;
            }
            command.getErr().println("granitefold-standin: " + e);
            return BROKEN_RULE;
        });
        return line.execute(args);
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return USAGE;
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Run a scenario.")
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "SCENARIO", description = "A scenario file, or the name of one in scenarios/.")
        private String scenario;
        @Option(names = "--seed", defaultValue = "1", description = "Seed of all random choices (${DEFAULT-VALUE}).")
        private long seed;
        @Option(names = "--repeat", defaultValue = "1", description = "Number of runs, each with the next seed (${DEFAULT-VALUE}).")
        private int repeat;
        @Option(names = "--jar", defaultValue = "target/granitefold.jar", description = "The dispatchers' jar (${DEFAULT-VALUE}).")
        private Path jar;
        @Option(names = "--json", paramLabel = "FILE", description = "Write the report as JSON to this file.")
        private Path json;
        @Option(names = "--html", paramLabel = "FILE", description = "Write the report as HTML to this file.")
        private Path html;
        @Option(names = "--history", paramLabel = "FILE", description = "Write the recorded history to this file, for `check-history`.")
        private Path history;
        @Option(names = "--quiet", description = "Print no progress.")
        private boolean quiet;
        @Spec
        private CommandSpec spec;
        private volatile TestRun.InProgress running;

        @Override
        public Integer call() throws Exception {
            Scenario s = Scenario.read(find(scenario));
            PrintWriter out = spec.commandLine().getOut();
            Thread shutdownHook = new Thread(this::writePartialReport);
            Runtime.getRuntime().addShutdownHook(shutdownHook);
            List<TestRun> runs = new ArrayList<>();
            for (int i = 0; i < repeat; i++) {
                if (!quiet) {
                    out.printf("%s, seed %d: %d dispatchers, %d workers, %d s%n", s.name(), seed + i, s.dispatchers().count(), s.workers().count(),
                            s.lengthUs() / 1_000_000);
                    out.flush();
                }
                TestRun run = TestRun.run(s, seed + i, jar, r -> running = r);
                runs.add(run);
                print(out, run);
                write(run, runs);
            }
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            if (runs.size() > 1) {
                out.println(interval(runs));
            }
            return runs.stream().allMatch(TestRun::passed) ? 0 : BROKEN_RULE;
        }

        private static Path find(String name) {
            Path file = Path.of(name);
            return Files.exists(file) ? file : Path.of("scenarios", name + ".conf");
        }

        /** Writes a report of the results so far when the command is interrupted. */
        private void writePartialReport() {
            TestRun.InProgress r = running;
            if (r != null) {
                try {
                    TestRun run = r.snapshot(true);
                    write(run, List.of(run));
                } catch (IOException e) {
                    System.err.println("granitefold-standin: cannot write the report: " + e);
                }
            }
        }

        private void write(TestRun run, List<TestRun> runs) throws IOException {
            if (json != null) {
                Object all = runs.size() == 1 ? TestReport.json(run) : runs.stream().map(TestReport::json).toList();
                Files.writeString(json, DispatcherConfig.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(all) + "\n");
            }
            if (html != null) {
                TestReport.html(run, html);
            }
            if (history != null) {
                History.write(run.history(), history);
            }
        }

        private static void print(PrintWriter out, TestRun run) {
            RequestStatistics.Summary all = run.statistics().all();
            out.printf(Locale.ROOT, "  asked %d, service %.3f, in time %d, late %d, rejected %d, failed %d, lost %d, left %d; p50 %.0f ms, p99 %.0f ms%n",
                    all.requests, all.servedValueShare(), all.count(RequestStatistics.Outcome.IN_TIME), all.count(RequestStatistics.Outcome.LATE),
                    all.count(RequestStatistics.Outcome.REJECTED), all.count(RequestStatistics.Outcome.FAILED),
                            all.count(RequestStatistics.Outcome.LOST),
                    all.count(RequestStatistics.Outcome.LEFT), all.latencyMs(50), all.latencyMs(99));
            if (run.scriptError() != null) {
                out.println("  the script failed: " + run.scriptError());
            }
            run.violations().stream().limit(5).forEach(v -> out.println("  " + v));
            out.println(run.violations().isEmpty() ? "  no rule violated" : "  " + run.violations().size() + " rule violations");
            out.flush();
        }

        private static String interval(List<TestRun> runs) {
            SummaryStatistics s = new SummaryStatistics();
            runs.forEach(run -> s.addValue(run.statistics().all().servedValueShare()));
            double half = new TDistribution(s.getN() - 1.0).inverseCumulativeProbability(UPPER_QUANTILE) * s.getStandardDeviation() / Math.sqrt(s.getN());
            return String.format(Locale.ROOT, "service over %d runs: %.3f, 95%% interval %.3f to %.3f; rules violated in %d", s.getN(), s.getMean(),
                    s.getMean() - half, s.getMean() + half, runs.stream().filter(run -> !run.violations().isEmpty()).count());
        }
    }

    @Command(name = "check-history", mixinStandardHelpOptions = true, description = "Check a history written by `run --history` for rule violations.")
    static final class CheckHistory implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "SCENARIO")
        private String scenario;
        @Parameters(index = "1", paramLabel = "HISTORY")
        private Path history;
        @Option(names = "--slack", defaultValue = "550", description = "Tolerance of time limits in milliseconds (${DEFAULT-VALUE}).")
        private long slackMs;
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            List<Violation> found = HistoryChecker.check(Scenario.read(Run.find(scenario)).terms(slackMs), History.read(history));
            found.forEach(spec.commandLine().getOut()::println);
            spec.commandLine().getOut().println(found.isEmpty() ? "no rule violated" : found.size() + " rule violations");
            return found.isEmpty() ? 0 : BROKEN_RULE;
        }
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Validate scenarios and print their descriptions.")
    static final class Show implements Callable<Integer> {
        @Parameters(arity = "1..*", paramLabel = "SCENARIO")
        private List<String> scenarios;
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            for (String name : scenarios) {
                Scenario s = Scenario.read(Run.find(name));
                spec.commandLine().getOut().printf("%s: %s (%d dispatchers, %d workers, %d s, %d steps)%n", s.name(), s.about(),
                        s.dispatchers().count(),
                        s.workers().count(), s.lengthUs() / 1_000_000, s.steps().size() + s.randomSteps().count());
            }
            return 0;
        }
    }
}
