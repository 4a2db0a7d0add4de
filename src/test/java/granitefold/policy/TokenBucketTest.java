package granitefold.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Arithmetic of the token bucket: properties of merging, and refill with its edge cases. */
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

    private static TokenBucket randomBucket(Random random) {
        TokenBucket bucket = bucket();
        for (int i = 0; i < 6; i++) {
            bucket.use(random.nextInt(OWNERS), random.nextInt(9));
            bucket.refill(random.nextInt(5_000_000));
        }
        return bucket;
    }

    private static TokenBucket merged(TokenBucket... parts) {
        TokenBucket bucket = bucket();
        for (TokenBucket part : parts) {
            merge(bucket, part);
        }
        return bucket;
    }

    private static void assertSame(TokenBucket a, TokenBucket b) {
        assertArrayEquals(a.used, b.used);
        assertEquals(a.totalUsed, b.totalUsed);
        assertEquals(a.credited, b.credited);
    }

    @Test
    void mergeIsIdempotentCommutativeAssociativeAndMonotone() {
        Random random = new Random(1);
        for (int round = 0; round < 500; round++) {
            TokenBucket a = randomBucket(random);
            TokenBucket b = randomBucket(random);
            TokenBucket c = randomBucket(random);
            assertSame(merged(a, a), merged(a));
            assertSame(merged(a, b), merged(b, a));
            assertSame(merged(merged(a, b), c), merged(a, merged(b, c)));
            TokenBucket ab = merged(a, b);
            assertTrue(ab.totalUsed >= a.totalUsed && ab.totalUsed >= b.totalUsed && ab.credited >= a.credited);
        }
    }

    @Test
    void startsFullAndRefillsAtItsRateUpToItsCapacity() {
        TokenBucket bucket = bucket();
        assertEquals(20, bucket.available());
        bucket.use(0, 20);
        bucket.refill(500_000);
        assertEquals(5, bucket.available(), 1e-9);
        bucket.refill(60_000_000);
        assertEquals(20, bucket.available(), 1e-9);
    }

    @Test
    void clockGoingBackwardsAddsNoCredit() {
        TokenBucket bucket = bucket();
        bucket.use(0, 10);
        bucket.refill(1_000_000);
        double before = bucket.credited;
        bucket.refill(0);
        bucket.refill(1_000_000);
        assertEquals(before, bucket.credited);
    }
}
