package granitefold.standin.ground;

import granitefold.standin.ground.RolloutTestBed.PlanParameters;
import granitefold.standin.ground.RolloutTestBed.Result;
import granitefold.standin.ground.PatchedJar.Patch;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import org.apache.commons.math3.stat.interval.WilsonScoreInterval;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Measures rollouts of a version that rejects a share of all requests, with real processes: how often the rollout is rolled back, at
 * which stage and after how long, and the share of requested value that is lost, compared with changing all dispatchers at once without
 * rollback. Both strategies receive the same requests for each seed.
 */
@Command(name = "rollouts", mixinStandardHelpOptions = true, description = "Roll out a version that rejects a share of requests, in stages and all at once.")
final class RolloutExperiment implements Callable<Integer> {
    private static final long TIMEOUT_S = 240;
    private static final double CONFIDENCE = 0.95, UPPER_QUANTILE = 0.975;
    private static final int WARMUP_S = 2, BASELINE_REQUESTS = 1500;

    @Option(names = "--loss", defaultValue = "0.05", description = "Share that the new version rejects; 0: an equivalent version (${DEFAULT-VALUE}).")
    private double loss;
    @Option(names = "--seeds", defaultValue = "10", description = "Runs of each strategy (${DEFAULT-VALUE}).")
    private int seeds;
    @Option(names = "--first", defaultValue = "1", description = "First seed (${DEFAULT-VALUE}).")
    private long first;
    @Option(names = "--parallel", defaultValue = "2", description = "Concurrent runs (${DEFAULT-VALUE}).")
    private int parallel;
    @Option(names = "--window", defaultValue = "90", description = "Seconds after the rollout's start over which losses count (${DEFAULT-VALUE}).")
    private int windowS;
    @Option(names = "--staged-only", description = "Skip the change of all at once.")
    private boolean stagedOnly;
    @Option(names = "--jar", defaultValue = "target/granitefold.jar", description = "The old version (${DEFAULT-VALUE}).")
    private Path jar;
    @Spec
    private CommandSpec spec;

    /** One run. {@code lost}: the share of the requested value in the window that is missing compared with the served share before the rollout. */
    private record Outcome(long seed, Result result, double lost, int violations) { }

    @Override
    public Integer call() throws Exception {
        Path folder = Files.createTempDirectory("rollouts");
        ExecutorService threads = Executors.newFixedThreadPool(parallel);
        PrintWriter out = spec.commandLine().getOut();
        try {
            Path newJar = PatchedJar.build(jar, folder, "fresh", loss > 0 ? PatchedJar.rejectShare(loss)
                    : new Patch("core/Phase.java", "/** The program's", "/** Our"));
            List<Future<Outcome>> staged = new ArrayList<>();
            List<Future<Outcome>> atOnce = new ArrayList<>();
            for (int i = 0; i < seeds; i++) {
                long seed = first + i;
                staged.add(threads.submit(() -> runRollout(seed, newJar, PlanParameters.QUICK)));
                if (!stagedOnly) {
                    atOnce.add(threads.submit(() -> runRollout(seed, newJar, new PlanParameters("all", 2, 6, 40, 20, false, false, ""))));
                }
            }
            report(out, staged, atOnce);
        } finally {
            threads.shutdownNow();
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        }
        return 0;
    }

    private Outcome runRollout(long seed, Path newJar, PlanParameters parameters) throws IOException, InterruptedException,
            granitefold.operator.InvalidFileException {
        Scenario s = Scenario.read("rollouts", "for = 600s, dispatchers { count = 4, kept = true }, cocineros { count = 5, slots = 8 }, load.rate = 200\n");
        try (RolloutTestBed r = new RolloutTestBed(s, seed, jar)) {
            r.awaitServed(BASELINE_REQUESTS);
            int startS = (int) (r.elapsedUs() / 1_000_000);
            r.writePlan("rollout", newJar, parameters);
            r.start();
            Result result = r.awaitResult(TIMEOUT_S);
            r.awaitSecond(startS + windowS);
            int violations = r.finish().size();
            return new Outcome(seed, result, lost(r.statistics().seconds(), startS, windowS), violations);
        }
    }

    private static double lost(List<RequestStatistics.Summary> seconds, int startS, int windowS) {
        double before = 0;
        double asked = 0;
        for (int i = WARMUP_S; i < startS; i++) {
            before += seconds.get(i).servedValue;
            asked += seconds.get(i).requestedValue;
        }
        double level = before / asked;
        double lost = 0;
        double all = 0;
        for (int i = startS; i < Math.min(seconds.size(), startS + windowS); i++) {
            lost += level * seconds.get(i).requestedValue - seconds.get(i).servedValue;
            all += seconds.get(i).requestedValue;
        }
        return lost / all;
    }

    private void report(PrintWriter out, List<Future<Outcome>> staged, List<Future<Outcome>> atOnce) throws Exception {
        out.printf(Locale.ROOT, "%5s %-10s %5s %8s %10s %10s %7s  %s%n", "seed", "state", "stage", "seconds", "lost", "at once", "broken", "verdict");
        SummaryStatistics inStages = new SummaryStatistics();
        SummaryStatistics allAtOnce = new SummaryStatistics();
        SummaryStatistics saved = new SummaryStatistics();
        SummaryStatistics seconds = new SummaryStatistics();
        int stopped = 0;
        int violations = 0;
        for (int i = 0; i < staged.size(); i++) {
            Outcome a = staged.get(i).get();
            Outcome b = stagedOnly ? null : atOnce.get(i).get();
            boolean back = a.result.state().equals("RETURNED");
            stopped += back ? 1 : 0;
            violations += a.violations + (b == null ? 0 : b.violations);
            inStages.addValue(a.lost);
            seconds.addValue(a.result.seconds());
            if (b != null) {
                allAtOnce.addValue(b.lost);
                saved.addValue(b.lost - a.lost);
            }
            out.printf(Locale.ROOT, "%5d %-10s %5d %8.1f %10.4f %10s %7d  %s%n", a.seed, a.result.state(), a.result.stage(), a.result.seconds(), a.lost,
                    b == null ? "" : String.format(Locale.ROOT, "%.4f", b.lost), a.violations + (b == null ? 0 : b.violations), a.result.verdict());
            out.flush();
        }
        var share = new WilsonScoreInterval().createInterval(staged.size(), stopped, CONFIDENCE);
        out.printf(Locale.ROOT, "rolled back in %d of %d (95%% interval %.3f to %.3f), after %.1f s on average; %d rule violations%n", stopped,
                staged.size(),
                share.getLowerBound(), share.getUpperBound(), seconds.getMean(), violations);
        out.println("value lost in stages: " + interval(inStages) + (stagedOnly ? "" : "; all at once: " + interval(allAtOnce) + "; saved, paired: "
                + interval(saved)));
    }

    private static String interval(SummaryStatistics s) {
        if (s.getN() < 2) {
            return String.format(Locale.ROOT, "%.4f", s.getMean());
        }
        double half = new TDistribution(s.getN() - 1.0).inverseCumulativeProbability(UPPER_QUANTILE) * s.getStandardDeviation() / Math.sqrt(s.getN());
        return String.format(Locale.ROOT, "%.4f (%.4f to %.4f)", s.getMean(), s.getMean() - half, s.getMean() + half);
    }
}
