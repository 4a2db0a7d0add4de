package granitefold.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which figures of a fleet are compared. */
class ObservationsTest {
    private static final long S = 1_000_000, WARM = 2 * S;
    private final Observations sights = new Observations();

    private void saw(String dispatcher, long life, long now) {
        Sample sample = life == 0 ? null : new Sample(life, Map.of(), 0, 0, 0, 0);
        sights.saw(dispatcher, new SupervisorStatus(Order.NONE, Order.NONE, Order.NONE, "", "old", life > 0, 0, sample), true, now);
    }

    private Set<String> compared(long now) {
        return sights.samples(List.of("n0", "n1"), now, WARM).keySet();
    }

    /** What a cold process refuses in its first moment would stand for its version. */
    @Test
    void whoBeganAnewIsComparedOnceItIsWarm() {
        saw("n0", 1, 0);
        saw("n1", 1, 0);
        assertEquals(Set.of("n0", "n1"), compared(0), "a look has a warm-up of its own");
        saw("n0", 0, S);
        saw("n0", 2, 2 * S);
        saw("n1", 1, 2 * S);
        assertEquals(Set.of("n1"), compared(2 * S));
        saw("n0", 2, 4 * S - 1);
        assertEquals(Set.of("n1"), compared(4 * S - 1));
        assertEquals(Set.of("n0", "n1"), compared(4 * S));
    }

    @Test
    void whoIsNotHeardOfIsNotCompared() {
        saw("n0", 1, 0);
        saw("n1", 1, 2 * S);
        assertEquals(Set.of("n1"), compared(4 * S));
    }
}
