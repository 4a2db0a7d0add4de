package granitefold.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which ids of requests may be used, and for how long an ended one is remembered. */
class RequestIdsTest extends ReducerCase {
    private final RequestIds ids = new RequestIds(List.of(), 1);

    /** Guards against forgetting an id with its client: its job ran twice. */
    @Test
    void idOfARequestThatMayHaveRunIsNotSentAgain() {
        request();
        play(new Event.WorkerConnected(0));
        play(new Event.RequestWritten(0));
        play(new Event.ClientClosed(7));
        request(8, "t");
        assertEquals(List.of(new Effect.Answer(8, new FinalAnswer.Duplicate(), false)), all(Effect.Answer.class));
        assertEquals(1, all(Effect.SendRequest.class).size());
        now += RequestIds.MIN_RETENTION_US;
        request(9, "t");
        assertEquals(1, all(Effect.Answer.class).size());
    }

    @Test
    void idThatNeverRanMayBeUsedAgain() {
        assertTrue(ids.open("t", now));
        assertFalse(ids.open("t", now));
        ids.ended("t", false, now);
        assertTrue(ids.open("t", now));
    }

    /** Guards against memory that grows with each new id. */
    @Test
    void onlyTheLatestIdsAreRemembered() {
        for (int i = 0; i < 2 * RequestIds.MAX_ENDED_IDS; i++) {
            ids.open("t" + i, now);
            ids.ended("t" + i, true, now);
        }
        assertTrue(ids.open("t0", now));
        assertTrue(ids.open("t" + (RequestIds.MAX_ENDED_IDS - 1), now));
        assertFalse(ids.open("t" + RequestIds.MAX_ENDED_IDS, now));
    }
}
