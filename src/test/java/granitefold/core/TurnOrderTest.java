package granitefold.core;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.Dispatcher;
import granitefold.Dispatcher.Group;
import granitefold.Dispatcher.JobClass;
import granitefold.Dispatcher.State;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Decisions that fall due in one turn of the reducer, whose effects are performed afterwards in their order. Random events and pauses
 * are played against a small model of clients and workers, which knows what has really run.
 */
class TurnOrderTest {
    private static final int SEEDS = 1_500, STEPS = 400, WORKERS = 3;
    private static final long SECOND = ReducerCase.SECOND;
    private static final int UNSAFE = 0;
    /** After its deadline a request is answered by the next wake-up. */
    private static final long ANSWER_SLACK_US = SECOND / 2;

    private static final class Job {
        final String name;
        final long client;
        final int jobClass;
        final long deadline;
        int runs;
        boolean answered;
        boolean rejected;

        Job(String name, long client, int jobClass, long deadline) {
            this.name = name;
            this.client = client;
            this.jobClass = jobClass;
            this.deadline = deadline;
        }
    }

    /** A connection to a worker, and the job that was written to it and is not over. */
    private static final class Link {
        boolean connected;
        Job job;
        boolean turnsAway;
    }

    /** One play: clients, workers and a clock around a reducer. */
    private static final class Play {
        final Random random;
        final Reducer reducer;
        final Map<Long, Job> jobs = new HashMap<>();
        final Map<Long, Link> links = new TreeMap<>();
        final Set<Long> closedClients = new HashSet<>();
        final List<Job> all = new ArrayList<>();
        final ArrayDeque<Event> events = new ArrayDeque<>();
        long now = 1_000 * SECOND;
        long wakeAt = Long.MAX_VALUE;
        long lastClient;
        boolean stopped;

        Play(long seed) {
            random = new Random(seed);
            // short deadlines make a shutdown short: requests that arrived before it are still open at its end
            JobClass unsafe = new JobClass(Dispatcher.Effect.UNSAFE, Group.ALL, 0, SECOND, SECOND / 2, 1, -1, 1, 0);
            JobClass safe = new JobClass(Dispatcher.Effect.SAFE, Group.ALL, 0, SECOND, SECOND / 2, 1, -1, 1, 0);
            reducer = new Reducer(ReducerCase.settings(SECOND / 2, unsafe, safe), new Reducer.Bounds(40, 24, 24, 120_000, 10 * SECOND), seed);
            process(new Event.SocketsOpened(list(State.READY), "127.0.0.1:2"));
            process(new Event.WatchUpdated(null));
        }

        private WorkerList list(State last) {
            List<WorkerList.Entry> entries = new ArrayList<>();
            for (int i = 0; i < WORKERS; i++) {
                entries.add(new WorkerList.Entry("p" + i, "127.0.0.1:" + (i + 1), i == WORKERS - 1 ? last : State.READY, 1, 0, 0, 0, 0));
            }
            return new WorkerList(1, true, entries);
        }

        /** Processes an event and those that its effects cause; the process may be held up before each of them. */
        void process(Event first) {
            events.add(first);
            drain();
        }

        private void drain() {
            while (!events.isEmpty()) {
                for (Effect effect : List.copyOf(reducer.reduce(events.remove(), now))) {
                    perform(effect);
                }
                if (random.nextInt(10) == 0) {
                    now += random.nextInt(150_000);
                }
            }
        }

        private void perform(Effect effect) {
            if (effect instanceof Effect.ConnectWorker e) {
                links.put(e.connection(), new Link());
            } else if (effect instanceof Effect.SendRequest e) {
                write(e);
            } else if (effect instanceof Effect.CloseWorker e) {
                links.remove(e.connection());
            } else if (effect instanceof Effect.Answer e) {
                answered(jobs.remove(e.client()), e.answer());
                events.add(new Event.AnswerWritten(e.client(), e.close()));
            } else if (effect instanceof Effect.CloseClient e) {
                closeClient(e.client());
            } else if (effect instanceof Effect.WakeAt e) {
                wakeAt = e.at();
            } else if (effect instanceof Effect.PollSockets e) {
                events.add(new Event.SocketsPolled(e.connection()));
            } else if (effect instanceof Effect.StopListening) {
                events.add(new Event.ListenerClosed(true));
            } else if (effect instanceof Effect.Stop) {
                stopped = true;
            }
        }

        private void write(Effect.SendRequest send) {
            Link link = links.get(send.connection());
            Job job = jobs.get(send.client());
            if (closedClients.contains(send.client())) {
                events.add(new Event.RequestNotSent(send.connection()));
            } else if (link != null && job != null) {
                assertTrue(links.values().stream().noneMatch(other -> other.job == job), "two attempts are out");
                link.job = job;
                link.turnsAway = random.nextInt(4) == 0;
                job.runs += link.turnsAway ? 0 : 1;
                assertFalse(job.rejected && !link.turnsAway, "a refused request runs");
                assertTrue(job.jobClass != UNSAFE || job.runs <= 1, "an unsafe job runs twice");
                events.add(new Event.RequestWritten(send.connection()));
            }
        }

        private void answered(Job job, FinalAnswer answer) {
            assertTrue(job != null && !job.answered, "answered twice");
            job.answered = true;
            job.rejected = answer instanceof FinalAnswer.Rejected;
            assertFalse(job.rejected && job.jobClass == UNSAFE && job.runs > 0, "a request is refused that runs");
        }

        private void closeClient(long client) {
            if (closedClients.add(client)) {
                events.add(new Event.ClientClosed(client, CloseReason.CLIENT));
            }
        }

        void step() {
            switch (random.nextInt(8)) {
                case 0, 1 -> request();
                case 2, 3 -> updateLink();
                case 4 -> connectLink();
                case 5 -> now += random.nextInt(20_000);
                case 6 -> pauseOrWake();
                default -> rareEvent();
            }
            while (wakeAt <= now && random.nextInt(3) > 0) {
                wakeAt = Long.MAX_VALUE;
                process(new Event.Woken());
            }
        }

        private void request() {
            long client = ++lastClient;
            process(new Event.ClientConnected(client));
            long remainingUs = SECOND / 10 + random.nextInt(5_000_000);
            Job job = new Job("t" + client, client, random.nextInt(2), now + remainingUs);
            jobs.put(client, job);
            all.add(job);
            process(new Event.RequestArrived(client, new Submission(job.name, job.jobClass, 0, remainingUs, 1_000 + random.nextInt(300_000), 1, 0,
                    0, new Payload() { })));
        }

        /** A worker tells of its job, or its connection breaks. */
        private void updateLink() {
            List<Long> busy = links.entrySet().stream().filter(e -> e.getValue().job != null).map(Map.Entry::getKey).toList();
            if (busy.isEmpty()) {
                return;
            }
            long connection = busy.get(random.nextInt(busy.size()));
            Link link = links.get(connection);
            int kind = random.nextInt(4);
            if (kind == 0) {
                links.remove(connection);
                process(new Event.WorkerClosed(connection, "closed by the remote end"));
            } else if (kind == 1 && !link.turnsAway) {
                process(new Event.AttemptUpdated(connection, new AttemptUpdate.Started()));
            } else {
                link.job = null;
                process(new Event.AttemptUpdated(connection, link.turnsAway ? new AttemptUpdate.Returned() : new AttemptUpdate.Served(new byte[0])));
                process(new Event.WorkerAnswerEnded(connection, true));
            }
        }

        private void connectLink() {
            links.entrySet().stream().filter(e -> !e.getValue().connected).findFirst().ifPresent(e -> {
                e.getValue().connected = true;
                process(new Event.WorkerConnected(e.getKey()));
            });
        }

        /** Jumps to the next timer or past several, as after a pause of the process; what workers did meanwhile is seen first. */
        private void pauseOrWake() {
            if (random.nextInt(4) == 0) {
                now += random.nextInt(1_000_000);
                connectLink();
                updateLink();
            } else {
                now = Math.max(now, Math.min(wakeAt, now + SECOND));
            }
        }

        private void rareEvent() {
            int kind = random.nextInt(40);
            if (kind < 6 && !jobs.isEmpty()) {
                closeClient(jobs.keySet().iterator().next());
                drain();
            } else if (kind < 9) {
                process(new Event.WatchUpdated(list(random.nextBoolean() ? State.READY : State.DRAINING)));
            } else if (kind == 9) {
                process(new Event.ShutdownRequested(false));
            }
        }

        void checkAnswers() {
            for (Job job : all) {
                if (now > job.deadline + ANSWER_SLACK_US && wakeAt > now && !closedClients.contains(job.client)) {
                    assertTrue(job.answered, job.name + " has no answer");
                }
            }
        }
    }

    /** Guards against ends that guess what ran: a refused request was written in the same turn, or an unsafe one ran twice. */
    @Test
    void whateverFallsDueInOneTurnNoRefusedRequestRunsAndNoUnsafeOneTwice() {
        int shutdowns = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Play play = new Play(seed);
            try {
                for (int i = 0; i < STEPS && !play.stopped; i++) {
                    play.step();
                    play.checkAnswers();
                }
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
            shutdowns += play.stopped ? 1 : 0;
        }
        assertTrue(shutdowns > 0, "no play reached the end of a shutdown");
    }
}
