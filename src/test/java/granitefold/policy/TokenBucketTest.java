package granitefold.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** The arithmetic of the buckets: the laws of merging, refill and its edges. */
class TokenBucketTest {
    private static final int OWNERS = 4;

    private static TokenBucket bucket() {
        return new TokenBucket(10, 20, OWNERS, 0);
    }

    private static void merge(TokenBucket into, TokenBucket from) {
        for (int i = 0; i < OWNERS; i++) {
            into.merge(i, from.used[i], from.credited);
        }
    }

    private static TokenBucket random(Random r) {
        TokenBucket b = bucket();
        for (int i = 0; i < 6; i++) {
            b.use(r.nextInt(OWNERS), r.nextInt(9));
            b.refill(r.nextInt(5_000_000));
        }
        return b;
    }

    private static TokenBucket of(TokenBucket... parts) {
        TokenBucket b = bucket();
        for (TokenBucket p : parts) {
            merge(b, p);
        }
        return b;
    }

    private static void same(TokenBucket a, TokenBucket b) {
        assertArrayEquals(a.used, b.used);
        assertEquals(a.totalUsed, b.totalUsed);
        assertEquals(a.credited, b.credited);
    }

    @Test
    void mergeIsIdempotentCommutativeAssociativeAndMonotone() {
        Random r = new Random(1);
        for (int round = 0; round < 500; round++) {
            TokenBucket a = random(r);
            TokenBucket b = random(r);
            TokenBucket c = random(r);
            same(of(a, a), of(a));
            same(of(a, b), of(b, a));
            same(of(of(a, b), c), of(a, of(b, c)));
            TokenBucket ab = of(a, b);
            assertTrue(ab.totalUsed >= a.totalUsed && ab.totalUsed >= b.totalUsed && ab.credited >= a.credited);
        }
    }

    @Test
    void startsFullRefillsByRateAndNeverPastCapacity() {
        TokenBucket b = bucket();
        assertEquals(20, b.available());
        b.use(0, 20);
        b.refill(500_000);
        assertEquals(5, b.available(), 1e-9);
        b.refill(60_000_000);
        assertEquals(20, b.available(), 1e-9);
    }

    @Test
    void clockGoingBackCreditsNothing() {
        TokenBucket b = bucket();
        b.use(0, 10);
        b.refill(1_000_000);
        double before = b.credited;
        b.refill(0);
        b.refill(1_000_000);
        assertEquals(before, b.credited);
    }
}
