package granitefold.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Two dispatchers with a bucket each, every sequence of six steps: uses, saves, crashes with and without a file, words
 * that arrive late or never, time. What a dispatcher forgets is at most what it used since its last save and nobody heard of.
 */
class TokenBucketRestartTest {
    private static final int STEPS = 6;
    private static final double CAPACITY = 2, RATE = 1;

    private enum Step { USE_A, USE_B, SAVE_A, CRASH_A, SPEAK_A, SPEAK_B, HEAR_A, HEAR_B, SECOND }

    /** What a file or a word holds of a bucket. */
    private record Copy(long a, long b, double credited) {
        static Copy of(TokenBucket k) {
            return new Copy(k.used[0], k.used[1], k.credited);
        }
    }

    @Provide
    Arbitrary<List<Step>> sequences() {
        return Arbitraries.of(Step.values()).list().ofSize(STEPS);
    }

    @Property(generation = GenerationMode.EXHAUSTIVE, tries = 531_441)
    void aCrashForgetsNoMoreThanWasNeitherSavedNorHeard(@ForAll("sequences") List<Step> steps) {
        TokenBucket a = new TokenBucket(RATE, CAPACITY, 2, 0);
        TokenBucket b = new TokenBucket(RATE, CAPACITY, 2, 0);
        Copy file = null;
        List<Copy> fromA = new ArrayList<>(2);
        List<Copy> fromB = new ArrayList<>(2);
        long usedA = 0;
        long forgotten = 0;
        long now = 0;
        for (Step s : steps) {
            a.refill(now);
            b.refill(now);
            switch (s) {
                case USE_A -> {
                    if (a.available() >= 1) {
                        a.use(0, 1);
                        usedA++;
                    }
                }
                case USE_B -> {
                    if (b.available() >= 1) {
                        b.use(1, 1);
                    }
                }
                case SAVE_A -> file = Copy.of(a);
                case CRASH_A -> {
                    TokenBucket next = new TokenBucket(RATE, CAPACITY, 2, now);
                    if (file != null) {
                        next.merge(0, file.a() + next.usedSinceStart, file.credited());
                        next.merge(1, file.b(), file.credited());
                    }
                    forgotten += Math.max(0, a.used[0] - next.used[0]);
                    a = next;
                }
                case SPEAK_A -> fromA.add(Copy.of(a));
                case SPEAK_B -> fromB.add(Copy.of(b));
                case HEAR_B -> {
                    // the newest first: words are reordered, and those left over are lost
                    if (!fromA.isEmpty()) {
                        Copy w = fromA.remove(fromA.size() - 1);
                        b.merge(0, w.a(), w.credited());
                        b.merge(1, w.b(), w.credited());
                    }
                }
                case HEAR_A -> {
                    if (!fromB.isEmpty()) {
                        Copy w = fromB.remove(fromB.size() - 1);
                        a.merge(0, w.a() + (w.a() > a.used[0] ? a.usedSinceStart : 0), w.credited());
                        a.merge(1, w.b(), w.credited());
                    }
                }
                default -> now += 1_000_000;
            }
            double allowed = CAPACITY + RATE * now / 1e6 + forgotten;
            if (usedA > allowed + 1e-9 || a.used[0] + forgotten < usedA
                    || a.credited > CAPACITY + RATE * now / 1e6 + 1e-9 || file != null && s == Step.CRASH_A && a.used[0] < file.a()) {
                assertTrue(false, "used " + usedA + ", allowed " + allowed + ", counted " + a.used[0] + " after " + steps);
            }
        }
    }
}
