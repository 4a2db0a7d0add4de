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
 * The watch on virtual time, against an agent that does its worst. From whatever state, once the agent can be reached again and
 * goes on so, what it has is heard within the 6 s after which it counts as told; from SIGHUP within 4 s.
 */
class DiscoveryWatchTest {
    private static final long MS = 1_000, SECOND = 1_000 * MS, TOLD_US = 6 * SECOND, MOVED_US = 4 * SECOND;
    /** An agent says something every 2 s, and answers a call at once. */
    private static final long HEARTBEAT_US = 2 * SECOND, ANSWER_US = 5 * MS;

    /** What becomes of calls, and of the watch that is open, in a spell. */
    private enum Agent {
        /** All is well. */
        WELL,
        /** Nothing comes back: dials hang, calls and open watches are silent. */
        SILENT,
        /** Calls are refused, open watches are reset. */
        REFUSING,
        /** It answers with a list, and ends the call at once. */
        CURT,
        /** It answers with what makes no sense, at once. */
        BROKEN,
        /** Calls come up and are ended after a while with nothing said. */
        SLOW_TO_REFUSE
    }

    private final Timers timers = new Timers();
    private final List<Effect> effects = new ArrayList<>();
    private DiscoveryWatch watch;
    private Agent agent = Agent.WELL;
    private long now = 1_000 * SECOND;
    private int call;
    private boolean open;
    private long heardAt;
    private long calls;
    private final PriorityQueue<Due> agenda = new PriorityQueue<>(Comparator.comparingLong(Due::at));

    private record Due(long at, LongConsumer what) { }

    private void begin(long seed) {
        watch = new DiscoveryWatch("a", 1, seed, timers, effects);
        watch.open(now);
        perform();
    }

    private void at(long time, LongConsumer what) {
        agenda.add(new Due(time, what));
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
                int mine = ++call;
                answer(mine);
            }
        }
    }

    private void answer(int mine) {
        switch (agent) {
            case WELL -> at(now + ANSWER_US, t -> speak(mine, true));
            case REFUSING, BROKEN -> at(now + ANSWER_US, t -> end(mine));
            case CURT -> at(now + ANSWER_US, t -> {
                if (mine == call && open) {
                    watch.received(null, true, t);
                    end(mine);
                }
            });
            case SLOW_TO_REFUSE -> at(now + 2_900 * MS, t -> end(mine));
            default -> { }
        }
    }

    private void speak(int mine, boolean first) {
        if (mine == call && open && (agent == Agent.WELL || first)) {
            heardAt = now;
            watch.received(null, true, now);
            at(now + HEARTBEAT_US, t -> speak(mine, false));
        }
    }

    private void end(int mine) {
        if (mine == call && open) {
            open = false;
            watch.ended("test", now);
            perform();
        }
    }

    private void pass(long until) {
        while (true) {
            long at = Math.min(agenda.isEmpty() ? Long.MAX_VALUE : agenda.peek().at(), timers.next());
            if (at > until) {
                now = until;
                return;
            }
            now = Math.max(now, at);
            if (!agenda.isEmpty() && agenda.peek().at() == at) {
                agenda.poll().what().accept(now);
            } else {
                timers.due(now).accept(now);
            }
            perform();
        }
    }

    private void become(Agent next) {
        agent = next;
        if (next == Agent.REFUSING) {
            end(call);
        }
    }

    @Property(tries = 1_000)
    void whatDiscoveryHasIsHeardInTimeFromWhateverState(@ForAll long seed, @ForAll @Size(min = 1, max = 8) List<Agent> spells,
            @ForAll @Size(8) List<@IntRange(min = 0, max = 9_000) Integer> lengths) {
        begin(seed);
        for (int i = 0; i < spells.size(); i++) {
            become(spells.get(i));
            pass(now + lengths.get(i) * MS);
        }
        become(Agent.WELL);
        long since = now;
        heardAt = 0;
        pass(since + TOLD_US);
        assertTrue(heardAt > since, "nothing was heard for 6 s after " + spells + " " + lengths);
        long last = heardAt;
        pass(now + TOLD_US);
        assertTrue(heardAt > last, "and it goes on");
    }

    @Property(tries = 500)
    void fromAnotherAddressItIsHeardSooner(@ForAll long seed, @ForAll Agent before, @ForAll @IntRange(min = 0, max = 9_000) int length) {
        begin(seed);
        become(before);
        pass(now + length * MS);
        become(Agent.WELL);
        long since = now;
        heardAt = 0;
        watch.changeAddress("b", now);
        perform();
        pass(since + MOVED_US);
        assertTrue(heardAt > since);
    }

    /** The agent is on the same machine, but a storm of calls would still cost both what little time they have. */
    @Test
    void callsHaveABudgetWhateverBecomesOfThem() {
        for (Agent a : List.of(Agent.REFUSING, Agent.CURT, Agent.BROKEN, Agent.SILENT)) {
            become(a);
            begin(7);
            calls = 0;
            pass(now + 60 * SECOND);
            assertTrue(calls >= 15 && calls <= 130, a + ": " + calls + " calls in a minute");
        }
    }

    /** Processes that lose discovery at one moment do not all come back at one moment. */
    @Test
    void pausesDifferFromProcessToProcess() {
        List<Long> at = new ArrayList<>();
        for (int seed = 0; seed < 20; seed++) {
            Timers own = new Timers();
            List<Effect> asked = new ArrayList<>();
            DiscoveryWatch w = new DiscoveryWatch("a", 1, seed, own, asked);
            w.open(now);
            for (int i = 0; i < 6; i++) {
                w.ended("refused", now);
                at.add(own.next());
                own.due(own.next()).accept(now);
            }
        }
        assertTrue(at.stream().distinct().count() > 100, "of 120");
        assertEquals(0, at.stream().filter(t -> t - now > DiscoveryWatch.MAX_BACKOFF_US).count());
    }
}
