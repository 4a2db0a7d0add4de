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
 * Runs two dispatchers with a bucket each through every sequence of six steps: uses, saves, crashes with and without a saved
 * file, messages that arrive late or never, and time. A crash may lose no more than the use that was neither saved nor received
 * by the other dispatcher.
 */
class TokenBucketRestartTest {
    private static final int STEPS = 6;
    private static final double CAPACITY = 2, RATE = 1;

    private enum Step { USE_A, USE_B, SAVE_A, CRASH_A, SEND_A, SEND_B, RECEIVE_A, RECEIVE_B, SECOND }

    /** The content of a bucket in a file or a message. */
    private record Copy(long usedByA, long usedByB, double credited) {
        static Copy of(TokenBucket bucket) {
            return new Copy(bucket.used[0], bucket.used[1], bucket.credited);
        }
    }

    @Provide
    Arbitrary<List<Step>> sequences() {
        return Arbitraries.of(Step.values()).list().ofSize(STEPS);
    }

    @Property(generation = GenerationMode.EXHAUSTIVE, tries = 531_441)
    void aCrashLosesOnlyUseThatWasNeitherSavedNorReceived(@ForAll("sequences") List<Step> steps) {
        TokenBucket a = new TokenBucket(RATE, CAPACITY, 2, 0);
        TokenBucket b = new TokenBucket(RATE, CAPACITY, 2, 0);
        Copy file = null;
        List<Copy> fromA = new ArrayList<>(2);
        List<Copy> fromB = new ArrayList<>(2);
        long usedA = 0;
        long lost = 0;
        long now = 0;
        for (Step step : steps) {
            a.refill(now);
            b.refill(now);
            switch (step) {
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
                    TokenBucket restarted = new TokenBucket(RATE, CAPACITY, 2, now);
                    if (file != null) {
                        restarted.merge(0, file.usedByA() + restarted.usedSinceStart, file.credited());
                        restarted.merge(1, file.usedByB(), file.credited());
                    }
                    lost += Math.max(0, a.used[0] - restarted.used[0]);
                    a = restarted;
                }
                case SEND_A -> fromA.add(Copy.of(a));
                case SEND_B -> fromB.add(Copy.of(b));
                case RECEIVE_B -> {
                    // the newest first: messages are reordered, and those that remain are lost
                    if (!fromA.isEmpty()) {
                        Copy copy = fromA.remove(fromA.size() - 1);
                        b.merge(0, copy.usedByA(), copy.credited());
                        b.merge(1, copy.usedByB(), copy.credited());
                    }
                }
                case RECEIVE_A -> {
                    if (!fromB.isEmpty()) {
                        Copy copy = fromB.remove(fromB.size() - 1);
                        a.merge(0, copy.usedByA() + (copy.usedByA() > a.used[0] ? a.usedSinceStart : 0), copy.credited());
                        a.merge(1, copy.usedByB(), copy.credited());
                    }
                }
                default -> now += 1_000_000;
            }
            double allowed = CAPACITY + RATE * now / 1e6 + lost;
            if (usedA > allowed + 1e-9 || a.used[0] + lost < usedA
                    || a.credited > CAPACITY + RATE * now / 1e6 + 1e-9 || file != null && step == Step.CRASH_A && a.used[0] < file.usedByA()) {
                assertTrue(false, "used " + usedA + ", allowed " + allowed + ", counted " + a.used[0] + " after " + steps);
            }
        }
    }
}
