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

/** A module under test with its actions written down; times are given in milliseconds. */
final class Bench implements Dispatcher.Actions {
    static final int SAFE = 0;
    static final int KEYED_ALL = 1;
    static final int KEYED_ZONE = 2;
    static final int KEYED_CELL = 3;
    static final int UNSAFE = 4;
    static final long KEEP_MS = 5_000;

    final List<String> log = new ArrayList<>();
    final List<byte[]> told = new ArrayList<>();
    final List<Integer> toldTo = new ArrayList<>();
    final List<Long> sentTo = new ArrayList<>();
    final List<long[]> timers = new ArrayList<>();
    final DispatchPolicy module;
    long now = 1_000_000_000L;
    private long ids = 1;

    Bench(int siblings, boolean mustWatch) {
        this(siblings, mustWatch, true, 7);
    }

    Bench(int siblings, boolean mustWatch, boolean copies, long seed) {
        this(0, siblings, mustWatch, copies, seed, true, 0.2);
    }

    /** Siblings are there and may not speak; late jobs are worth so much. */
    static Bench mute(double lateWorth) {
        return new Bench(0, 4, false, true, 7, false, lateWorth);
    }

    /** One of many dispatchers, by its number. */
    static Bench numbered(int me, int siblings) {
        return new Bench(me, siblings, false, true, 7 + me, true, 0.2);
    }

    private Bench(int me, int siblings, boolean mustWatch, boolean copies, long seed, boolean talk, double lateWorth) {
        List<JobClass> classes = new ArrayList<>();
        classes.add(type(Effect.SAFE, Group.ALL, lateWorth));
        classes.add(type(Effect.KEYED, Group.ALL, lateWorth));
        classes.add(type(Effect.KEYED, Group.ZONE, lateWorth));
        classes.add(type(Effect.KEYED, Group.CELL, lateWorth));
        classes.add(type(Effect.UNSAFE, Group.ALL, lateWorth));
        module = new DispatchPolicy(new Settings(classes, List.of(new Tenant(0.5, 5), new Tenant(0.5, 5)), me, siblings, 0,
                mustWatch, true, 0, 1_000, new Limits(4, copies, true, talk, true, 2_000_000),
                new Rules(2_000_000, 16_000, 0.25, 10_000_000, 4, 1_000_000, 10_000_000),
                new Prices(0, 0, 0)), seed, this);
        module.start(now);
    }

    private static JobClass type(Effect effect, Group group, double lateWorth) {
        return new JobClass(effect, group, KEEP_MS * 1000, 500_000, 10_000_000, 2, -1, 1, lateWorth);
    }

    static Worker worker(long id, int zone, int cell) {
        return new Worker(id, 1, State.READY, 0, zone, cell, 0);
    }

    Bench list(ListUpdate news, Worker... workers) {
        module.listUpdated(now, news, Arrays.asList(workers));
        return this;
    }

    /** Two workers in zone 0 and cells 0 and 1, and one in zone 1 and cell 2. */
    Bench three() {
        return list(ListUpdate.WHOLE, worker(10, 0, 0), worker(11, 0, 1), worker(12, 1, 2));
    }

    long request(int type, int tenant, double workMs, long leftMs) {
        return request(type, tenant, workMs, leftMs, 0);
    }

    long request(int type, int tenant, double workMs, long leftMs, long key) {
        module.requested(now, new Request(ids, type, tenant, leftMs * 1000, workMs * 1000, 1, 0, key));
        return ids++;
    }

    void end(long id, int attempt, Outcome outcome) {
        module.ended(now, id, attempt, outcome == Outcome.SERVED, outcome, null);
    }

    /** Lets time pass, playing the timers that run out. */
    void pass(long ms) {
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
            module.elapsed(now, next[1]);
        }
    }

    long count(String start) {
        return log.stream().filter(l -> l.startsWith(start)).count();
    }

    long lastWorker() {
        return sentTo.get(sentTo.size() - 1);
    }

    @Override
    public void send(long request, long worker, long waitUs, long startUs) {
        log.add("send " + request + " " + worker);
        sentTo.add(worker);
    }

    @Override
    public void cancel(long request, int attempt) {
        log.add("cancel " + request + " " + attempt);
    }

    @Override
    public void refuse(long request, long retryAfterUs, Dispatcher.Refusal why) {
        log.add("refuse " + request + " " + retryAfterUs);
    }

    @Override
    public void fail(long request) {
        log.add("fail " + request);
    }

    @Override
    public void timer(long afterUs, long token) {
        timers.add(new long[] {now + afterUs, token});
    }

    @Override
    public void sendToSibling(int sibling, byte[] message) {
        log.add("tell " + sibling);
        told.add(message);
        toldTo.add(sibling);
    }

    @Override
    public void watch() {
        log.add("watch");
    }
}
