package granitefold.standin.model;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Simulates bursts and prints how long dispatchers send no attempt. Exit status: 0, or 2 for invalid options. */
@Command(name = "starvation", mixinStandardHelpOptions = true, exitCodeOnInvalidInput = 2,
        description = "Simulate bursts in fleets of several sizes, and print how long dispatchers reject all requests.")
public final class StarvationCommand implements Callable<Integer> {
    private static final int[] DISPATCHERS = {4, 30, 100};
    private static final double[] BURSTS = {1.5, 2.4, 5.9};
    private static final double MIN_LOAD = 0.7, LOAD_STEP = 0.02;
    private static final int LOADS = 12, MAX_SEEDS = 10_000;
    /** A dispatcher counts as starved from this time on, as in the regression test for starvation. */
    private static final double STARVED_S = 4;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** The results of one kind of fleet; {@code spansS}: the longest time without an attempt per dispatcher and simulation. */
    private record Row(int dispatchers, double burst, boolean gossip, DescriptiveStatistics spansS, long starved, double worth,
            double lateShare) { }

    @Option(names = "--first-seed", defaultValue = "1", description = "The first seed (${DEFAULT-VALUE}).")
    private long firstSeed;
    @Option(names = "--seeds", defaultValue = "17", description = "Seeds for each of the 18 kinds of fleet (${DEFAULT-VALUE}).")
    private int seeds;
    @Option(names = "--json", paramLabel = "FILE", description = "Write the rows to this file as JSON.")
    private Path json;
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        if (seeds < 1 || seeds > MAX_SEEDS) {
            throw new ParameterException(spec.commandLine(), "--seeds must be from 1 to " + MAX_SEEDS);
        }
        ArrayNode rows = JSON.createArrayNode();
        for (int dispatchers : DISPATCHERS) {
            for (double burst : BURSTS) {
                for (boolean gossip : new boolean[] {true, false}) {
                    Row row = row(dispatchers, burst, gossip);
                    print(row);
                    rows.add(json(row));
                }
            }
        }
        if (json != null) {
            Files.writeString(json, JSON.writerWithDefaultPrettyPrinter().writeValueAsString(rows) + "\n");
        }
        return 0;
    }

    private Row row(int dispatchers, double burst, boolean gossip) {
        List<FleetResult> results = LongStream.range(firstSeed, firstSeed + seeds).parallel()
                .mapToObj(seed -> FleetModel.run(new FleetScenario(seed, dispatchers, burst, load(seed), gossip))).toList();
        DescriptiveStatistics spans = new DescriptiveStatistics();
        List<Double> starvedSpansS = new ArrayList<>();
        for (FleetResult result : results) {
            for (double s : result.starvedS()) {
                spans.addValue(s);
                if (s >= STARVED_S) {
                    starvedSpansS.add(s);
                }
            }
        }
        return new Row(dispatchers, burst, gossip, spans, starvedSpansS.size(),
                results.stream().mapToDouble(FleetResult::worthServed).average().orElse(0),
                results.stream().mapToDouble(FleetResult::lateShare).average().orElse(0));
    }

    private static double load(long seed) {
        return MIN_LOAD + LOAD_STEP * Math.floorMod(seed, LOADS);
    }

    private void print(Row row) {
        spec.commandLine().getOut().printf(Locale.ROOT,
                "%3d dispatchers, burst %.1f, gossip %s: no attempt for: median %.2f s, 99%% %.2f s, most %.2f s;"
                + " %d of %d for 4 s; worth %.3f, late %.3f%n", row.dispatchers(), row.burst(), row.gossip() ? "on" : "off",
                row.spansS().getPercentile(50), row.spansS().getPercentile(99), row.spansS().getMax(), row.starved(), row.spansS().getN(), row.worth(), row.lateShare());
        spec.commandLine().getOut().flush();
    }

    private static ObjectNode json(Row row) {
        return JSON.createObjectNode().put("dispatchers", row.dispatchers()).put("burst", row.burst()).put("gossip", row.gossip())
                .put("dispatchers_in_all", row.spansS().getN()).put("median_s", row.spansS().getPercentile(50))
                .put("p90_s", row.spansS().getPercentile(90)).put("p99_s", row.spansS().getPercentile(99)).put("most_s", row.spansS().getMax())
                .put("starved_4_s", row.starved()).put("worth", row.worth()).put("late_share", row.lateShare());
    }
}
