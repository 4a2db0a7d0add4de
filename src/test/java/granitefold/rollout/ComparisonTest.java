package granitefold.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.PoissonSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/**
 * The comparison on simulated streams with the noise of a fleet: Poisson arrivals, transient faults that affect all dispatchers, and
 * autocorrelated noise of each dispatcher.
 */
class ComparisonTest {
    private static final int RUNS = 200, MIN_S = 20, MAX_S = 120;
    private static final Margins MARGINS = new Margins(0.05, 0.02, 0.03, 0.02, 1.25, 1.4, 0, Map.of("escalar", 3.0));

    /** Generates a fleet's metrics second by second. */
    private static final class Stream {
        private final UniformRandomProvider random;
        private final Map<String, long[]> counts = new HashMap<>();
        private final Map<String, Double> held = new HashMap<>();
        private final Map<String, Double> seconds = new HashMap<>();
        private final Map<String, Double> noise = new HashMap<>();
        private double fault;
        private final double requestsPerS;

        Stream(long seed, double requestsPerS) {
            random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            this.requestsPerS = requestsPerS;
        }

        /** Advances by one second: a fault that affects all dispatchers starts by chance and decays over some seconds. */
        void second() {
            fault = random.nextDouble() < 0.05 ? random.nextDouble() * 0.3 : fault * 0.8;
        }

        Sample of(String name, double lost, double slower, long rssKb) {
            long[] c = counts.computeIfAbsent(name, n -> new long[4]);
            double ownNoise = noise.merge(name, 0.02 * (random.nextDouble() - 0.5), (a, b) -> a * 0.7 + b);
            double p = Math.min(1, Math.max(0, 0.97 - fault - lost + ownNoise));
            int arrivals = PoissonSampler.of(random, requestsPerS).sample();
            for (int i = 0; i < arrivals; i++) {
                boolean escalar = random.nextDouble() < 0.3;
                boolean served = random.nextDouble() < p;
                c[(escalar ? 2 : 0) + (served ? 0 : 1)]++;
            }
            // ten readings per second of the number of held requests
            held.merge(name, PoissonSampler.of(random, 10 * requestsPerS * 0.08 * slower * (1 + fault)).sample() / 10.0, Double::sum);
            double watched = seconds.merge(name, 1.0, Double::sum);
            return new Sample(1, Map.of("ficha", new Sample.Counts(c[0], c[1], 0), "escalar", new Sample.Counts(c[2], c[3], 0)),
                    0, held.get(name), watched,
                    rssKb + (long) (500 * random.nextDouble()));
        }
    }

    private interface Degradation {
        Sample candidate(Stream s, String name, int second);
    }

    /** Returns the seconds until a verdict, or -1 for none in time, and counts the verdict's kind in {@code outcomes}. */
    private static int stage(long seed, double requestsPerS, int perGroup, Degradation degradation, Map<Verdict.Kind, Integer> outcomes) {
        Stream s = new Stream(seed, requestsPerS);
        Comparison comparison = new Comparison(MARGINS, List.of("ficha", "escalar"));
        for (int t = 0; t <= MAX_S; t++) {
            s.second();
            Map<String, Sample> candidate = new HashMap<>();
            Map<String, Sample> baseline = new HashMap<>();
            for (int i = 0; i < perGroup; i++) {
                candidate.put("f" + i, degradation.candidate(s, "f" + i, t));
                baseline.put("o" + i, s.of("o" + i, 0, 1, 70_000));
            }
            comparison.addSamples(candidate, baseline, 1);
            Verdict.Kind kind = comparison.verdict().kind();
            if (kind == Verdict.Kind.WORSE || kind == Verdict.Kind.GOOD && t >= MIN_S) {
                outcomes.merge(kind, 1, Integer::sum);
                return t;
            }
        }
        outcomes.merge(Verdict.Kind.INCONCLUSIVE, 1, Integer::sum);
        return -1;
    }

    private static Map<Verdict.Kind, Integer> stages(double requestsPerS, int perGroup, Degradation degradation, String what) {
        Map<Verdict.Kind, Integer> outcomes = new HashMap<>();
        long seconds = 0;
        for (int i = 0; i < RUNS; i++) {
            seconds += Math.max(0, stage(1000 + i, requestsPerS, perGroup, degradation, outcomes));
        }
        System.out.println("comparison: " + what + ", " + perGroup + " each at " + requestsPerS + "/s: " + outcomes
                    + ", " + seconds / RUNS + " s on the mean");
        return outcomes;
    }

    @Test
    void identicalVersionsAreRarelyJudgedWorse() {
        for (double requestsPerS : new double[] {30, 100}) {
            Map<Verdict.Kind, Integer> outcomes = stages(requestsPerS, 1, (s, n, t) -> s.of(n, 0, 1, 70_000), "itself");
            assertTrue(outcomes.getOrDefault(Verdict.Kind.WORSE, 0) <= RUNS * 0.05, outcomes.toString());
        }
    }

    @Test
    void lossesAreDetected() {
        double[][] cases = {{0.05, 0.9}, {0.2, 1}};
        for (double[] c : cases) {
            Map<Verdict.Kind, Integer> outcomes = stages(100, 1, (s, n, t) -> s.of(n, c[0], 1, 70_000), "loses " + c[0]);
            assertTrue(outcomes.getOrDefault(Verdict.Kind.WORSE, 0) >= RUNS * c[1], outcomes.toString());
            assertEquals(0, outcomes.getOrDefault(Verdict.Kind.GOOD, 0), "no loss is judged good");
        }
        Map<Verdict.Kind, Integer> smallLoss = stages(100, 1, (s, n, t) -> s.of(n, 0.02, 1, 70_000), "loses 0.02");
        assertTrue(smallLoss.getOrDefault(Verdict.Kind.GOOD, 0) <= RUNS * 0.05, smallLoss.toString());
    }

    @Test
    void slownessAndMemoryLeakAreDetected() {
        assertTrue(stages(100, 1, (s, n, t) -> s.of(n, 0, 1.6, 70_000), "slower").getOrDefault(Verdict.Kind.WORSE, 0) >= RUNS * 0.9);
        assertTrue(stages(100, 1, (s, n, t) -> s.of(n, 0, 1, 70_000 + 1024L * t), "leaks").getOrDefault(Verdict.Kind.GOOD, 0) <= RUNS * 0.05);
    }

    @Test
    void servingNothingIsWorseAndFewAnswersAreInconclusive() {
        Map<Verdict.Kind, Integer> outcomes = stages(100, 1, (s, n, t) -> new Sample(1, Map.of(), 0, 5.0 * t * t, t, 70_000), "serves nothing");
        assertEquals(RUNS, outcomes.getOrDefault(Verdict.Kind.WORSE, 0));
        Map<Verdict.Kind, Integer> idle = stages(100, 1, (s, n, t) -> new Sample(1, Map.of(), 0, 0, t, 70_000), "no client came");
        assertEquals(RUNS, idle.getOrDefault(Verdict.Kind.INCONCLUSIVE, 0), "a dispatcher without clients is not at fault");
        Map<Verdict.Kind, Integer> sparse = stages(0.3, 1, (s, n, t) -> s.of(n, 0.05, 1, 70_000), "hardly asked");
        assertEquals(RUNS, sparse.getOrDefault(Verdict.Kind.INCONCLUSIVE, 0), "too few answers never give a good verdict");
    }

    /** The confidence sequence of shares of twenty answers ever excludes the mean in no more runs than alpha allows. */
    @Test
    void confidenceSequenceCoversTheMeanAtAllTimes() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(5);
        for (double p : new double[] {0.3, 0.05}) {
            int excluded = 0;
            for (int run = 0; run < 1000; run++) {
                ConfidenceSequence c = new ConfidenceSequence(0.05, 30);
                boolean outside = false;
                for (int i = 0; i < 300; i++) {
                    int hits = 0;
                    for (int j = 0; j < 20; j++) {
                        hits += random.nextDouble() < p ? 1 : 0;
                    }
                    double share = (hits + 1) / 22.0;
                    c.add(hits / 20.0, share * (1 - share) / 20);
                    outside |= Math.abs(c.mean() - p) > c.halfWidth();
                }
                excluded += outside ? 1 : 0;
            }
            assertTrue(excluded <= 50, excluded + " of 1000 runs excluded the mean");
        }
    }
}
