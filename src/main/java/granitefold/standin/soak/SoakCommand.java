package granitefold.standin.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import granitefold.standin.ground.TestRun;
import granitefold.standin.ground.Scenario;
import granitefold.standin.ground.RequestStatistics;
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

/** Plays of the soak over seeds. Exit status: 0 where no rule is broken, 1 where one is, 2 for bad input. */
@Command(name = "soak", mixinStandardHelpOptions = true, exitCodeOnInvalidInput = SoakCommand.BAD_INPUT,
        description = "Play random, overlapping faults over a fleet of real processes, a play a seed.")
public final class SoakCommand implements Callable<Integer> {
    static final int BAD_INPUT = 2;
    private static final int BROKEN_RULE = 1, SHOWN_MOST = 5, TOLD_MOST = 20;
    private static final long LENGTH_LEAST_S = 6, LENGTH_MOST_S = 600;
    private static final int SEEDS_MOST = 100_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    @Option(names = "--first-seed", defaultValue = "1", description = "The first play's (${DEFAULT-VALUE}).")
    private long firstSeed;
    @Option(names = "--seeds", defaultValue = "10", description = "Plays, each with the next seed (${DEFAULT-VALUE}).")
    private int seeds;
    @Option(names = "--length", defaultValue = "10", description = "Seconds for which clients ask in a play (${DEFAULT-VALUE}).")
    private long lengthS;
    @Option(names = "--jar", defaultValue = "target/granitefold.jar", description = "The dispatchers' jar (${DEFAULT-VALUE}).")
    private Path jar;
    @Option(names = "--json", paramLabel = "FILE", description = "Write the report there, anew after each play.")
    private Path json;
    @Option(names = "--histories", paramLabel = "FOLDER", description = "Write what was seen in each play that breaks a rule there.")
    private Path histories;
    @Option(names = "--print", description = "Print the scenarios of the seeds instead of playing them.")
    private boolean print;
    @Spec
    private CommandSpec spec;

    /** The scenario that a seed stands for. */
    public static Scenario scenario(long seed, long lengthS) throws granitefold.operator.InvalidFileException {
        return Scenario.read("soak-" + seed, SoakPlan.text(seed, 1000 * lengthS));
    }

    @Override
    public Integer call() throws Exception {
        check();
        ArrayNode plays = JSON.createArrayNode();
        int broken = 0;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            if (print) {
                spec.commandLine().getOut().println(SoakPlan.text(seed, 1000 * lengthS));
                continue;
            }
            TestRun p = TestRun.run(scenario(seed, lengthS), seed, jar, r -> { });
            broken += p.passed() ? 0 : 1;
            told(p);
            plays.add(json(p));
            write(plays);
            if (!p.passed() && histories != null) {
                History.write(p.history(), Files.createDirectories(histories).resolve("seed-" + seed + ".jsonl"));
            }
        }
        if (!print) {
            spec.commandLine().getOut().printf("%d plays, a rule broken or the script failed in %d%n", seeds, broken);
        }
        return broken == 0 ? 0 : BROKEN_RULE;
    }

    private void check() {
        if (seeds < 1 || seeds > SEEDS_MOST) {
            throw new ParameterException(spec.commandLine(), "--seeds takes 1 to " + SEEDS_MOST);
        }
        if (lengthS < LENGTH_LEAST_S || lengthS > LENGTH_MOST_S) {
            throw new ParameterException(spec.commandLine(), "--length takes " + LENGTH_LEAST_S + " to " + LENGTH_MOST_S + " seconds");
        }
        if (!Files.isReadable(jar)) {
            throw new ParameterException(spec.commandLine(), "--jar: " + jar + " cannot be read");
        }
        if (json != null && json.toAbsolutePath().getParent() != null && !Files.isDirectory(json.toAbsolutePath().getParent())) {
            throw new ParameterException(spec.commandLine(), "--json: there is no folder for " + json);
        }
    }

    private void told(TestRun p) {
        PrintWriter out = spec.commandLine().getOut();
        RequestStatistics.Summary all = p.statistics().all();
        out.printf(Locale.ROOT, "seed %d: asked %d, service %.3f, rejected %d, failed %d, lost %d, left %d: %s%n", p.seed(), all.requests, all.servedValueShare(),
                all.count(RequestStatistics.Outcome.REJECTED), all.count(RequestStatistics.Outcome.FAILED), all.count(RequestStatistics.Outcome.LOST), all.count(RequestStatistics.Outcome.LEFT),
                p.scriptError() != null ? "the script failed: " + p.scriptError() : p.violations().isEmpty() ? "no rule broken" : "BROKEN " + counts(p));
        p.violations().stream().limit(SHOWN_MOST).forEach(v -> out.println("  " + v));
        out.flush();
    }

    private static Map<Violation.Rule, Integer> counts(TestRun p) {
        Map<Violation.Rule, Integer> counts = new TreeMap<>();
        p.violations().forEach(v -> counts.merge(v.rule(), 1, Integer::sum));
        return counts;
    }

    private static ObjectNode json(TestRun p) {
        ObjectNode o = JSON.createObjectNode().put("seed", p.seed()).put("well", p.passed()).put("asked", p.statistics().all().requests)
                .put("service", p.statistics().all().servedValueShare());
        if (p.scriptError() != null) {
            o.put("script_failed", p.scriptError());
        }
        ObjectNode faults = o.putObject("injected");
        p.injectedFaults().forEach(faults::put);
        ArrayNode violations = o.putArray("violations");
        p.violations().stream().limit(TOLD_MOST).forEach(v -> violations.addObject().put("rule", v.rule().name()).put("at_ms", v.atUs() / 1000)
                .put("what", v.what()));
        return o.put("violations_in_all", p.violations().size());
    }

    private void write(ArrayNode plays) throws IOException {
        if (json != null) {
            Files.writeString(json, JSON.writerWithDefaultPrettyPrinter().writeValueAsString(plays) + "\n");
        }
    }
}
