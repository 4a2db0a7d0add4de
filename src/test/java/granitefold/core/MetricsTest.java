package granitefold.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.Dispatcher;
import granitefold.Dispatcher.Group;
import granitefold.Dispatcher.JobClass;
import granitefold.Dispatcher.Limits;
import granitefold.Dispatcher.Prices;
import granitefold.Dispatcher.Rules;
import granitefold.Dispatcher.Settings;
import granitefold.Dispatcher.State;
import granitefold.figures.MetricsSnapshot;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** For random sequences of events, the metrics equal counts kept from the effects alone. */
class MetricsTest {
    private static final long SECOND = 1_000_000;
    private static final int CLASSES = 3, WORKERS = 3;

    private static JobClass type(Dispatcher.Effect effect) {
        return new JobClass(effect, Group.ALL, 12 * SECOND, SECOND, 5 * SECOND, 1, -1, 1, 0);
    }

    private final Reducer reducer = new Reducer(new Settings(List.of(type(Dispatcher.Effect.SAFE),
            type(Dispatcher.Effect.KEYED), type(Dispatcher.Effect.UNSAFE)), List.of(), 0, 1, 0, false, true, 0, 5_000,
            new Limits(4, false, true, false, false, SECOND), new Rules(3 * SECOND, 20_000, 0.3, SECOND, 3, SECOND, 0),
            new Prices(0, 0, SECOND)), new Reducer.Bounds(12, 8, 8, 120_000, 10 * SECOND), 1, OptionalFeatures.NONE.withMetrics(true));
    private final Random random = new Random();
    private final Map<Long, Integer> classes = new HashMap<>();
    private final Map<Long, Effect.Answer> writing = new HashMap<>();
    private final Set<Long> owed = new HashSet<>();
    private final List<Long> idle = new ArrayList<>();
    private final List<Effect.ConnectWorker> connecting = new ArrayList<>();
    private final List<Long> sending = new ArrayList<>();
    private final List<Long> waiting = new ArrayList<>();
    private final long[][] replies = new long[CLASSES][3];
    private long dispatches;
    private long client;
    private long now = 1_000 * SECOND;
    private long wakeAt = Long.MAX_VALUE;
    private MetricsSnapshot last;
    private boolean quiet;

    private void play(Event event) {
        for (Effect e : List.copyOf(reducer.reduce(event, now))) {
            quiet &= !(e instanceof Effect.Answer || e instanceof Effect.CloseClient);
            if (e instanceof Effect.Answer a) {
                owed.remove(a.client());
                writing.put(a.client(), a);
            } else if (e instanceof Effect.ConnectWorker c) {
                connecting.add(c);
            } else if (e instanceof Effect.SendRequest s) {
                sending.add(s.connection());
            } else if (e instanceof Effect.CloseWorker c) {
                connecting.removeIf(x -> x.connection() == c.connection());
                sending.remove(c.connection());
                waiting.remove(c.connection());
            } else if (e instanceof Effect.CloseClient c) {
                close(c.client());
            } else if (e instanceof Effect.WakeAt w) {
                wakeAt = w.at();
            } else if (e instanceof Effect.PublishMetrics c) {
                last = c.metrics();
            }
        }
    }

    private void close(long clientId) {
        owed.remove(clientId);
        writing.remove(clientId);
        idle.remove(clientId);
        play(new Event.ClientClosed(clientId));
    }

    private <T> T any(List<T> of) {
        return of.get(random.nextInt(of.size()));
    }

    private void request(long clientId) {
        int jobClass = random.nextInt(CLASSES);
        classes.put(clientId, jobClass);
        owed.add(clientId);
        // some ids are used twice, which is answered as failed
        play(new Event.RequestArrived(clientId, new Submission("t" + (random.nextInt(20) == 0 ? 0 : clientId * 1000 + dispatches),
                jobClass, 0, (1 + random.nextInt(4)) * SECOND, 50_000, 1, 0, 0, new Payload() { }, jobClass == 1 ? "k" + clientId : null)));
    }

    private void step() {
        int choice = random.nextInt(14);
        if (choice < 3) {
            play(new Event.ClientConnected(++client));
            request(client);
        } else if (choice == 3 && !idle.isEmpty()) {
            Long clientId = any(idle);
            idle.remove(clientId);
            request(clientId);
        } else if (choice < 6 && !writing.isEmpty()) {
            Effect.Answer a = any(List.copyOf(writing.values()));
            writing.remove(a.client());
            replies[classes.get(a.client())][a.answer() instanceof FinalAnswer.Served ? 0
                    : a.answer() instanceof FinalAnswer.Rejected ? 1 : 2]++;
            idle.add(a.client());
            play(new Event.AnswerWritten(a.client(), false));
        } else if (choice == 6 && !owed.isEmpty()) {
            close(any(List.copyOf(owed)));
        } else if (choice == 7 && !writing.isEmpty()) {
            close(any(List.copyOf(writing.keySet())));
        } else if (choice < 10 && !connecting.isEmpty()) {
            Effect.ConnectWorker c = any(connecting);
            connecting.remove(c);
            play(random.nextInt(5) == 0 ? new Event.WorkerClosed(c.connection()) : new Event.WorkerConnected(c.connection()));
        } else if (choice == 10 && !sending.isEmpty()) {
            Long c = any(sending);
            sending.remove(c);
            if (random.nextInt(5) == 0) {
                play(new Event.WorkerClosed(c));
            } else {
                waiting.add(c);
                dispatches++;
                play(new Event.RequestWritten(c));
            }
        } else if (choice < 13 && !waiting.isEmpty()) {
            Long c = any(waiting);
            waiting.remove(c);
            switch (random.nextInt(6)) {
                case 0 -> play(new Event.WorkerClosed(c));
                case 1 -> play(new Event.AttemptUpdated(c, new AttemptUpdate.Failed()));
                case 2 -> play(new Event.AttemptUpdated(c, new AttemptUpdate.Returned()));
                default -> play(new Event.AttemptUpdated(c, new AttemptUpdate.Served(new byte[0])));
            }
            play(new Event.WorkerClosed(c));
        } else {
            now += random.nextInt(300_000);
            while (wakeAt <= now) {
                wakeAt = Long.MAX_VALUE;
                play(new Event.Woken());
            }
        }
    }

    @Property(tries = 150)
    void metricsMatchTheEffects(@ForAll long seed) {
        random.setSeed(seed);
        List<WorkerList.Entry> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new WorkerList.Entry("p" + i, "127.0.0.1:" + i, i == 2 ? State.DRAINING : State.READY, 1, 0, 0, 0, 0));
        }
        play(new Event.SocketsOpened(new WorkerList(1, true, workers), "127.0.0.1:9"));
        play(new Event.WatchUpdated(null));
        for (int i = 0; i < 400; i++) {
            step();
        }
        // until they are published in a step without further answers
        do {
            quiet = true;
            now += MetricsPublisher.INTERVAL_US;
            play(new Event.Woken());
        } while (!quiet);
        for (int c = 0; c < CLASSES; c++) {
            MetricsSnapshot.Replies r = last.replies().get(c);
            assertEquals(List.of(replies[c][0], replies[c][1], replies[c][2]), List.of(r.success(), r.overload(), r.error()));
        }
        assertEquals(dispatches, last.dispatches());
        assertEquals(owed.size() + writing.size(), last.concurrent());
        assertEquals(WORKERS, last.targets());
        assertTrue(last.targetsDisabled() >= 1 && last.targetsDisabled() <= WORKERS, "one worker is draining");
        assertTrue(last.ready());
    }
}
