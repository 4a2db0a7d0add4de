package granitefold.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.LongConsumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * The watch on discovery on virtual time, against an agent with all kinds of failures. From any state, once the agent is reachable
 * and stays so, its list is received within the 6 s after which it is binding; after SIGHUP with a new address within 4 s.
 */
class DiscoveryWatchTest {
    private static final long MS = 1_000, SECOND = 1_000 * MS, BINDING_US = 6 * SECOND, ADDRESS_CHANGE_US = 4 * SECOND;
    /** An agent sends a message every 2 s, and answers a call at once. */
    private static final long HEARTBEAT_US = 2 * SECOND, ANSWER_US = 5 * MS;

    /** How the agent treats calls and the open watch during a period. */
    private enum Agent {
        /** Answers and sends heartbeats. */
        HEALTHY,
        /** Nothing is received: connects hang, calls and open watches are silent. */
        SILENT,
        /** Calls are refused, open watches are reset. */
        REFUSING,
        /** Answers with a message and ends the call at once. */
        CLOSES_AFTER_MESSAGE,
        /** Answers with malformed data at once. */
        BROKEN,
        /** Calls are accepted and ended after a while without a message. */
        SLOW_TO_REFUSE
    }

    private final Timers timers = new Timers();
    private final List<Effect> effects = new ArrayList<>();
    private DiscoveryWatch watch;
    private Agent agent = Agent.HEALTHY;
    private long now = 1_000 * SECOND;
    private int call;
    private boolean open;
    private long receivedAt;
    private long calls;
    private final PriorityQueue<Due> scheduled = new PriorityQueue<>(Comparator.comparingLong(Due::at));

    private record Due(long at, LongConsumer action) { }

    private void begin(long seed) {
        watch = new DiscoveryWatch("a", 1, seed, timers, effects);
        watch.open(now);
        perform();
    }

    private void at(long time, LongConsumer action) {
        scheduled.add(new Due(time, action));
    }

    private void perform() {
        for (Effect e : List.copyOf(effects)) {
            effects.remove(e);
            if (e instanceof Effect.CloseWatch) {
                open = false;
                call++;
            } else if (e instanceof Effect.OpenWatch) {
                open = true;
                calls++;
                int ownCall = ++call;
                answer(ownCall);
            }
        }
    }

    private void answer(int ownCall) {
        switch (agent) {
            case HEALTHY -> at(now + ANSWER_US, t -> send(ownCall, true));
            case REFUSING, BROKEN -> at(now + ANSWER_US, t -> end(ownCall));
            case CLOSES_AFTER_MESSAGE -> at(now + ANSWER_US, t -> {
                if (ownCall == call && open) {
                    watch.received(null, true, t);
                    end(ownCall);
                }
            });
            case SLOW_TO_REFUSE -> at(now + 2_900 * MS, t -> end(ownCall));
            default -> { }
        }
    }

    private void send(int ownCall, boolean first) {
        if (ownCall == call && open && (agent == Agent.HEALTHY || first)) {
            receivedAt = now;
            watch.received(null, true, now);
            at(now + HEARTBEAT_US, t -> send(ownCall, false));
        }
    }

    private void end(int ownCall) {
        if (ownCall == call && open) {
            open = false;
            watch.ended("test", now);
            perform();
        }
    }

    private void runUntil(long until) {
        while (true) {
            long at = Math.min(scheduled.isEmpty() ? Long.MAX_VALUE : scheduled.peek().at(), timers.next());
            if (at > until) {
                now = until;
                return;
            }
            now = Math.max(now, at);
            if (!scheduled.isEmpty() && scheduled.peek().at() == at) {
                scheduled.poll().action().accept(now);
            } else {
                timers.due(now).accept(now);
            }
            perform();
        }
    }

    private void setAgent(Agent next) {
        agent = next;
        if (next == Agent.REFUSING) {
            end(call);
        }
    }

    @Property(tries = 1_000)
    void theListIsReceivedInTimeFromAnyState(@ForAll long seed, @ForAll @Size(min = 1, max = 8) List<Agent> periods,
            @ForAll @Size(8) List<@IntRange(min = 0, max = 9_000) Integer> lengths) {
        begin(seed);
        for (int i = 0; i < periods.size(); i++) {
            setAgent(periods.get(i));
            runUntil(now + lengths.get(i) * MS);
        }
        setAgent(Agent.HEALTHY);
        long since = now;
        receivedAt = 0;
        runUntil(since + BINDING_US);
        assertTrue(receivedAt > since, "nothing was received for 6 s after " + periods + " " + lengths);
        long last = receivedAt;
        runUntil(now + BINDING_US);
        assertTrue(receivedAt > last, "messages keep coming");
    }

    @Property(tries = 500)
    void afterAnAddressChangeTheListIsReceivedSooner(@ForAll long seed, @ForAll Agent before, @ForAll @IntRange(min = 0, max = 9_000) int length) {
        begin(seed);
        setAgent(before);
        runUntil(now + length * MS);
        setAgent(Agent.HEALTHY);
        long since = now;
        receivedAt = 0;
        watch.changeAddress("b", now);
        perform();
        runUntil(since + ADDRESS_CHANGE_US);
        assertTrue(receivedAt > since);
    }

    /** The agent is on the same machine: a storm of calls would cost both sides processor time. */
    @Test
    void callsAreLimitedHoweverTheyEnd() {
        for (Agent a : List.of(Agent.REFUSING, Agent.CLOSES_AFTER_MESSAGE, Agent.BROKEN, Agent.SILENT)) {
            setAgent(a);
            begin(7);
            calls = 0;
            runUntil(now + 60 * SECOND);
            assertTrue(calls >= 15 && calls <= 130, a + ": " + calls + " calls in a minute");
        }
    }

    /** Processes that lose discovery at the same time do not all reconnect at the same time. */
    @Test
    void backoffsDifferBetweenProcesses() {
        List<Long> at = new ArrayList<>();
        for (int seed = 0; seed < 20; seed++) {
            Timers ownTimers = new Timers();
            List<Effect> ownEffects = new ArrayList<>();
            DiscoveryWatch ownWatch = new DiscoveryWatch("a", 1, seed, ownTimers, ownEffects);
            ownWatch.open(now);
            for (int i = 0; i < 6; i++) {
                ownWatch.ended("refused", now);
                at.add(ownTimers.next());
                ownTimers.due(ownTimers.next()).accept(now);
            }
        }
        assertTrue(at.stream().distinct().count() > 100, "of 120");
        assertEquals(0, at.stream().filter(t -> t - now > DiscoveryWatch.MAX_BACKOFF_US).count());
    }
}
