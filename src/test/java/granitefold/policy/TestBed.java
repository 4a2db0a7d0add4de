package granitefold.policy;

import granitefold.Dispatcher;
import granitefold.Dispatcher.Effect;
import granitefold.Dispatcher.Group;
import granitefold.Dispatcher.JobClass;
import granitefold.Dispatcher.Limits;
import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.Prices;
import granitefold.Dispatcher.Request;
import granitefold.Dispatcher.Rules;
import granitefold.Dispatcher.Settings;
import granitefold.Dispatcher.State;
import granitefold.Dispatcher.Tenant;
import granitefold.Dispatcher.Worker;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Runs one {@link DispatchPolicy} on virtual time and records its actions; times are given in milliseconds. */
final class TestBed implements Dispatcher.Actions {
    static final int SAFE = 0;
    static final int KEYED_ALL = 1;
    static final int KEYED_ZONE = 2;
    static final int KEYED_CELL = 3;
    static final int UNSAFE = 4;
    static final long DEDUP_WINDOW_MS = 5_000;

    final List<String> actions = new ArrayList<>();
    final List<byte[]> messages = new ArrayList<>();
    final List<Integer> recipients = new ArrayList<>();
    final List<Long> sendTargets = new ArrayList<>();
    final List<long[]> timers = new ArrayList<>();
    final DispatchPolicy policy;
    long now = 1_000_000_000L;
    private long nextId = 1;

    TestBed(int siblings, boolean mustWatch) {
        this(siblings, mustWatch, true, 7);
    }

    TestBed(int siblings, boolean mustWatch, boolean secondCopies, long seed) {
        this(0, siblings, mustWatch, secondCopies, seed, true, 0.2);
    }

    /** A dispatcher with siblings that may not exchange messages, and with a value of late jobs. */
    static TestBed withoutMessages(double lateWorth) {
        return new TestBed(0, 4, false, true, 7, false, lateWorth);
    }

    /** One of many dispatchers, by its index. */
    static TestBed inFleet(int selfIndex, int siblings) {
        return new TestBed(selfIndex, siblings, false, true, 7 + selfIndex, true, 0.2);
    }

    private TestBed(int selfIndex, int siblings, boolean mustWatch, boolean secondCopies, long seed, boolean siblingMessages,
            double lateWorth) {
        List<JobClass> classes = new ArrayList<>();
        classes.add(jobClass(Effect.SAFE, Group.ALL, lateWorth));
        classes.add(jobClass(Effect.KEYED, Group.ALL, lateWorth));
        classes.add(jobClass(Effect.KEYED, Group.ZONE, lateWorth));
        classes.add(jobClass(Effect.KEYED, Group.CELL, lateWorth));
        classes.add(jobClass(Effect.UNSAFE, Group.ALL, lateWorth));
        policy = new DispatchPolicy(new Settings(classes, List.of(new Tenant(0.5, 5), new Tenant(0.5, 5)), selfIndex, siblings, 0,
                mustWatch, true, 0, 1_000, new Limits(4, secondCopies, true, siblingMessages, true, 2_000_000),
                new Rules(2_000_000, 16_000, 0.25, 10_000_000, 4, 1_000_000, 10_000_000),
                new Prices(0, 0, 0)), seed, this);
        policy.start(now);
    }

    private static JobClass jobClass(Effect effect, Group group, double lateWorth) {
        return new JobClass(effect, group, DEDUP_WINDOW_MS * 1000, 500_000, 10_000_000, 2, -1, 1, lateWorth);
    }

    static Worker worker(long id, int zone, int cell) {
        return new Worker(id, 1, State.READY, 0, zone, cell, 0);
    }

    TestBed updateList(ListUpdate update, Worker... workers) {
        policy.listUpdated(now, update, Arrays.asList(workers));
        return this;
    }

    /** Two workers in zone 0 and cells 0 and 1, and one in zone 1 and cell 2. */
    TestBed withThreeWorkers() {
        return updateList(ListUpdate.WHOLE, worker(10, 0, 0), worker(11, 0, 1), worker(12, 1, 2));
    }

    long request(int jobClass, int tenant, double workMs, long leftMs) {
        return request(jobClass, tenant, workMs, leftMs, 0);
    }

    long request(int jobClass, int tenant, double workMs, long leftMs, long key) {
        policy.requested(now, new Request(nextId, jobClass, tenant, leftMs * 1000, workMs * 1000, 1, 0, key));
        return nextId++;
    }

    void endAttempt(long id, int attempt, Outcome outcome) {
        policy.ended(now, id, attempt, outcome == Outcome.SERVED, outcome, null);
    }

    /** Advances the time and fires the timers that expire. */
    void advance(long ms) {
        long until = now + ms * 1000;
        while (true) {
            long[] next = null;
            for (long[] t : timers) {
                next = t[0] <= until && (next == null || t[0] < next[0]) ? t : next;
            }
            if (next == null) {
                now = until;
                return;
            }
            timers.remove(next);
            now = Math.max(now, next[0]);
            policy.elapsed(now, next[1]);
        }
    }

    long countActions(String prefix) {
        return actions.stream().filter(a -> a.startsWith(prefix)).count();
    }

    long lastWorker() {
        return sendTargets.get(sendTargets.size() - 1);
    }

    @Override
    public void send(long request, long worker, long waitUs, long startUs) {
        actions.add("send " + request + " " + worker);
        sendTargets.add(worker);
    }

    @Override
    public void cancel(long request, int attempt) {
        actions.add("cancel " + request + " " + attempt);
    }

    @Override
    public void refuse(long request, long retryAfterUs, Dispatcher.Refusal why) {
        actions.add("refuse " + request + " " + retryAfterUs);
    }

    @Override
    public void fail(long request) {
        actions.add("fail " + request);
    }

    @Override
    public void timer(long afterUs, long token) {
        timers.add(new long[] {now + afterUs, token});
    }

    @Override
    public void sendToSibling(int sibling, byte[] message) {
        actions.add("message " + sibling);
        messages.add(message);
        recipients.add(sibling);
    }

    @Override
    public void watch() {
        actions.add("watch");
    }
}
