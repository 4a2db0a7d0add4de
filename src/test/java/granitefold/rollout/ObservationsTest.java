package granitefold.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which dispatchers' samples are included in a comparison. */
class ObservationsTest {
    private static final long S_US = 1_000_000, WARM_UP_US = 2 * S_US;
    private final Observations observations = new Observations();

    private void status(String dispatcher, long incarnation, long now) {
        Sample sample = incarnation == 0 ? null : new Sample(incarnation, Map.of(), 0, 0, 0, 0);
        observations.update(dispatcher, new SupervisorStatus(Order.NONE, Order.NONE, Order.NONE, "", "old", incarnation > 0, 0, sample), true, now);
    }

    private Set<String> compared(long now) {
        return observations.samples(List.of("n0", "n1"), now, WARM_UP_US).keySet();
    }

    /** Requests that a new process refuses during its warm-up must not be attributed to its version. */
    @Test
    void restartedProcessIsComparedAfterItsWarmUp() {
        status("n0", 1, 0);
        status("n1", 1, 0);
        assertEquals(Set.of("n0", "n1"), compared(0), "a comparison starts after a warm-up of its own");
        status("n0", 0, S_US);
        status("n0", 2, 2 * S_US);
        status("n1", 1, 2 * S_US);
        assertEquals(Set.of("n1"), compared(2 * S_US));
        status("n0", 2, 4 * S_US - 1);
        assertEquals(Set.of("n1"), compared(4 * S_US - 1));
        assertEquals(Set.of("n0", "n1"), compared(4 * S_US));
    }

    @Test
    void dispatcherWithoutRecentStatusIsNotCompared() {
        status("n0", 1, 0);
        status("n1", 1, 2 * S_US);
        assertEquals(Set.of("n1"), compared(4 * S_US));
    }
}
