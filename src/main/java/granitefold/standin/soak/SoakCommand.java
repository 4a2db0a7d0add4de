package granitefold.standin.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import granitefold.standin.ground.RequestStatistics;
import granitefold.standin.ground.Scenario;
import granitefold.standin.ground.TestRun;
import granitefold.standin.history.History;
import granitefold.standin.history.Violation;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Runs the soak test for a range of seeds. Exit status: 0 if no rule is violated, 1 if one is, 2 for invalid options. */
@Command(name = "soak", mixinStandardHelpOptions = true, exitCodeOnInvalidInput = SoakCommand.INVALID_OPTIONS,
        description = "Run fleets of real processes under random, overlapping faults, one test run per seed.")
public final class SoakCommand implements Callable<Integer> {
    static final int INVALID_OPTIONS = 2;
    private static final int RULE_BROKEN = 1, MAX_PRINTED_VIOLATIONS = 5, MAX_REPORTED_VIOLATIONS = 20;
    private static final long MIN_LENGTH_S = 6, MAX_LENGTH_S = 600;
    private static final int MAX_SEEDS = 100_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    @Option(names = "--first-seed", defaultValue = "1", description = "Seed of the first test run (${DEFAULT-VALUE}).")
    private long firstSeed;
    @Option(names = "--seeds", defaultValue = "10", description = "Number of test runs, with consecutive seeds (${DEFAULT-VALUE}).")
    private int seeds;
    @Option(names = "--length", defaultValue = "10", description = "Seconds of client load per test run (${DEFAULT-VALUE}).")
    private long lengthS;
    @Option(names = "--jar", defaultValue = "target/granitefold.jar", description = "Jar of the dispatchers (${DEFAULT-VALUE}).")
    private Path jar;
    @Option(names = "--json", paramLabel = "FILE", description = "Write the report to this file, updated after each test run.")
    private Path json;
    @Option(names = "--histories", paramLabel = "FOLDER", description = "Write the history of each test run that fails to this folder.")
    private Path histories;
    @Option(names = "--print", description = "Print the scenarios of the seeds instead of running them.")
    private boolean print;
    @Spec
    private CommandSpec spec;

    /** Returns the scenario that is generated from a seed. */
    public static Scenario scenario(long seed, long lengthS) throws granitefold.operator.InvalidFileException {
        return Scenario.read("soak-" + seed, SoakPlan.text(seed, 1000 * lengthS));
    }

    @Override
    public Integer call() throws Exception {
        checkOptions();
        ArrayNode reports = JSON.createArrayNode();
        int failedRuns = 0;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            if (print) {
                spec.commandLine().getOut().println(SoakPlan.text(seed, 1000 * lengthS));
                continue;
            }
            TestRun testRun = TestRun.run(scenario(seed, lengthS), seed, jar, r -> { });
            failedRuns += testRun.passed() ? 0 : 1;
            printSummary(testRun);
            reports.add(json(testRun));
            write(reports);
            if (!testRun.passed() && histories != null) {
                History.write(testRun.history(), Files.createDirectories(histories).resolve("seed-" + seed + ".jsonl"));
            }
        }
        if (!print) {
            spec.commandLine().getOut().printf("%d test runs; a rule was violated or the script failed in %d%n", seeds, failedRuns);
        }
        return failedRuns == 0 ? 0 : RULE_BROKEN;
    }

    private void checkOptions() {
        if (seeds < 1 || seeds > MAX_SEEDS) {
            throw new ParameterException(spec.commandLine(), "--seeds must be from 1 to " + MAX_SEEDS);
        }
        if (lengthS < MIN_LENGTH_S || lengthS > MAX_LENGTH_S) {
            throw new ParameterException(spec.commandLine(), "--length must be from " + MIN_LENGTH_S + " to " + MAX_LENGTH_S + " seconds");
        }
        if (!Files.isReadable(jar)) {
            throw new ParameterException(spec.commandLine(), "--jar: " + jar + " cannot be read");
        }
        if (json != null && json.toAbsolutePath().getParent() != null && !Files.isDirectory(json.toAbsolutePath().getParent())) {
            throw new ParameterException(spec.commandLine(), "--json: the folder of this file does not exist: " + json);
        }
    }

    private void printSummary(TestRun testRun) {
        PrintWriter out = spec.commandLine().getOut();
        RequestStatistics.Summary all = testRun.statistics().all();
        out.printf(Locale.ROOT, "seed %d: requests %d, service %.3f, rejected %d, failed %d, lost %d, left %d: %s%n",
                testRun.seed(), all.requests, all.servedValueShare(),
                all.count(RequestStatistics.Outcome.REJECTED), all.count(RequestStatistics.Outcome.FAILED),
                all.count(RequestStatistics.Outcome.LOST), all.count(RequestStatistics.Outcome.LEFT),
                testRun.scriptError() != null ? "the script failed: " + testRun.scriptError()
                : testRun.violations().isEmpty() ? "no rule violated" : "rules violated: " + counts(testRun));
        testRun.violations().stream().limit(MAX_PRINTED_VIOLATIONS).forEach(v -> out.println("  " + v));
        out.flush();
    }

    private static Map<Violation.Rule, Integer> counts(TestRun testRun) {
        Map<Violation.Rule, Integer> counts = new TreeMap<>();
        testRun.violations().forEach(v -> counts.merge(v.rule(), 1, Integer::sum));
        return counts;
    }

    private static ObjectNode json(TestRun testRun) {
        ObjectNode report = JSON.createObjectNode().put("seed", testRun.seed()).put("well", testRun.passed())
                .put("asked", testRun.statistics().all().requests).put("service", testRun.statistics().all().servedValueShare());
        if (testRun.scriptError() != null) {
            report.put("script_failed", testRun.scriptError());
        }
        ObjectNode faults = report.putObject("injected");
        testRun.injectedFaults().forEach(faults::put);
        ArrayNode violations = report.putArray("violations");
        testRun.violations().stream().limit(MAX_REPORTED_VIOLATIONS).forEach(v -> violations.addObject().put("rule", v.rule().name())
                .put("at_ms", v.atUs() / 1000).put("what", v.what()));
        return report.put("violations_in_all", testRun.violations().size());
    }

    private void write(ArrayNode reports) throws IOException {
        if (json != null) {
            Files.writeString(json, JSON.writerWithDefaultPrettyPrinter().writeValueAsString(reports) + "\n");
        }
    }
}
