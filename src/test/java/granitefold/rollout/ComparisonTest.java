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
 * The comparison on streams with the noise that a fleet has: requests by chance, a trouble that comes and goes for all, dispatchers
 * that each have a luck of their own for a while.
 */
class ComparisonTest {
    private static final int RUNS = 200, LEAST_S = 20, MOST_S = 120;
    private static final Margins MARGINS = new Margins(0.05, 0.02, 0.03, 0.02, 1.25, 1.4, 0, Map.of("escalar", 3.0));

    /** A fleet's figures second by second. */
    private static final class Stream {
        private final UniformRandomProvider random;
        private final Map<String, long[]> counts = new HashMap<>();
        private final Map<String, Double> held = new HashMap<>();
        private final Map<String, Double> seconds = new HashMap<>();
        private final Map<String, Double> luck = new HashMap<>();
        private double trouble;
        private final double perS;

        Stream(long seed, double perS) {
            random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            this.perS = perS;
        }

        /** A second: a trouble that hits all, and each one's own luck, both lasting some seconds. */
        void second() {
            trouble = random.nextDouble() < 0.05 ? random.nextDouble() * 0.3 : trouble * 0.8;
        }

        Sample of(String name, double lost, double slower, long rssKb) {
            long[] c = counts.computeIfAbsent(name, n -> new long[4]);
            double own = luck.merge(name, 0.02 * (random.nextDouble() - 0.5), (a, b) -> a * 0.7 + b);
            double p = Math.min(1, Math.max(0, 0.97 - trouble - lost + own));
            int asked = PoissonSampler.of(random, perS).sample();
            for (int i = 0; i < asked; i++) {
                boolean escalar = random.nextDouble() < 0.3;
                boolean served = random.nextDouble() < p;
                c[(escalar ? 2 : 0) + (served ? 0 : 1)]++;
            }
            // ten looks a second at what it holds
            held.merge(name, PoissonSampler.of(random, 10 * perS * 0.08 * slower * (1 + trouble)).sample() / 10.0, Double::sum);
            double watched = seconds.merge(name, 1.0, Double::sum);
            return new Sample(1, Map.of("ficha", new Sample.Counts(c[0], c[1], 0), "escalar", new Sample.Counts(c[2], c[3], 0)), 0, held.get(name), watched,
                    rssKb + (long) (500 * random.nextDouble()));
        }
    }

    private interface Harm {
        Sample fresh(Stream s, String name, int second);
    }

    /** Seconds until a verdict, negative where there was none in time; the verdict's kind goes into {@code ends}. */
    private static int stage(long seed, double perS, int each, Harm harm, Map<Verdict.Kind, Integer> ends) {
        Stream s = new Stream(seed, perS);
        Comparison e = new Comparison(MARGINS, List.of("ficha", "escalar"));
        for (int t = 0; t <= MOST_S; t++) {
            s.second();
            Map<String, Sample> fresh = new HashMap<>();
            Map<String, Sample> old = new HashMap<>();
            for (int i = 0; i < each; i++) {
                fresh.put("f" + i, harm.fresh(s, "f" + i, t));
                old.put("o" + i, s.of("o" + i, 0, 1, 70_000));
            }
            e.look(fresh, old, 1);
            Verdict.Kind kind = e.verdict().kind();
            if (kind == Verdict.Kind.WORSE || kind == Verdict.Kind.GOOD && t >= LEAST_S) {
                ends.merge(kind, 1, Integer::sum);
                return t;
            }
        }
        ends.merge(Verdict.Kind.INCONCLUSIVE, 1, Integer::sum);
        return -1;
    }

    private static Map<Verdict.Kind, Integer> stages(double perS, int each, Harm harm, String what) {
        Map<Verdict.Kind, Integer> ends = new HashMap<>();
        long seconds = 0;
        for (int i = 0; i < RUNS; i++) {
            seconds += Math.max(0, stage(1000 + i, perS, each, harm, ends));
        }
        System.out.println("evidence: " + what + ", " + each + " each at " + perS + "/s: " + ends + ", " + seconds / RUNS + " s on the mean");
        return ends;
    }

    @Test
    void aVersionAgainstItselfIsSeldomCalledWorse() {
        for (double perS : new double[] {30, 100}) {
            Map<Verdict.Kind, Integer> ends = stages(perS, 1, (s, n, t) -> s.of(n, 0, 1, 70_000), "itself");
            assertTrue(ends.getOrDefault(Verdict.Kind.WORSE, 0) <= RUNS * 0.05, ends.toString());
        }
    }

    @Test
    void lossesAreFound() {
        double[][] cases = {{0.05, 0.9}, {0.2, 1}};
        for (double[] c : cases) {
            Map<Verdict.Kind, Integer> ends = stages(100, 1, (s, n, t) -> s.of(n, c[0], 1, 70_000), "loses " + c[0]);
            assertTrue(ends.getOrDefault(Verdict.Kind.WORSE, 0) >= RUNS * c[1], ends.toString());
            assertEquals(0, ends.getOrDefault(Verdict.Kind.GOOD, 0), "never passed as good");
        }
        Map<Verdict.Kind, Integer> two = stages(100, 1, (s, n, t) -> s.of(n, 0.02, 1, 70_000), "loses 0.02");
        assertTrue(two.getOrDefault(Verdict.Kind.GOOD, 0) <= RUNS * 0.05, two.toString());
    }

    @Test
    void slownessAndALeakAreFound() {
        assertTrue(stages(100, 1, (s, n, t) -> s.of(n, 0, 1.6, 70_000), "slower").getOrDefault(Verdict.Kind.WORSE, 0) >= RUNS * 0.9);
        assertTrue(stages(100, 1, (s, n, t) -> s.of(n, 0, 1, 70_000 + 1024L * t), "leaks").getOrDefault(Verdict.Kind.GOOD, 0) <= RUNS * 0.05);
    }

    @Test
    void whoServesNothingIsWorseAndFewAnswersSayNothing() {
        Map<Verdict.Kind, Integer> ends = stages(100, 1, (s, n, t) -> new Sample(1, Map.of(), 0, 5.0 * t * t, t, 70_000), "serves nothing");
        assertEquals(RUNS, ends.getOrDefault(Verdict.Kind.WORSE, 0));
        Map<Verdict.Kind, Integer> lonely = stages(100, 1, (s, n, t) -> new Sample(1, Map.of(), 0, 0, t, 70_000), "no client came");
        assertEquals(RUNS, lonely.getOrDefault(Verdict.Kind.INCONCLUSIVE, 0), "that clients stay elsewhere is no fault");
        Map<Verdict.Kind, Integer> few = stages(0.3, 1, (s, n, t) -> s.of(n, 0.05, 1, 70_000), "hardly asked");
        assertEquals(RUNS, few.getOrDefault(Verdict.Kind.INCONCLUSIVE, 0), "never good by default");
    }

    /** The interval of shares of twenty answers leaves the mean out no more often than it says, at any time. */
    @Test
    void theSequenceKeepsItsPromiseAtAllTimes() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(5);
        for (double p : new double[] {0.3, 0.05}) {
            int left = 0;
            for (int run = 0; run < 1000; run++) {
                ConfidenceSequence c = new ConfidenceSequence(0.05, 30);
                boolean out = false;
                for (int i = 0; i < 300; i++) {
                    int hits = 0;
                    for (int j = 0; j < 20; j++) {
                        hits += random.nextDouble() < p ? 1 : 0;
                    }
                    double share = (hits + 1) / 22.0;
                    c.add(hits / 20.0, share * (1 - share) / 20);
                    out |= Math.abs(c.mean() - p) > c.halfWidth();
                }
                left += out ? 1 : 0;
            }
            assertTrue(left <= 50, left + " of 1000 left the mean out");
        }
    }
}
