package granitefold.bench;

import granitefold.policy.DispatchPolicy;
import granitefold.Dispatcher;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** What a request, and the siblings' words on theirs, cost the module in fleets of several sizes. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
public class FleetBench {
    private static final int SIBLINGS = 14, OPEN = 20;

    @Param({"12", "60", "1000"})
    public int workers;

    private final List<byte[]> words = new ArrayList<>();
    private DispatchPolicy module;
    private DispatchPolicy sibling;
    private long now = 1_000_000_000;
    private long ids;
    private int next;

    private record Out(List<byte[]> told) implements Dispatcher.Actions {
        @Override
        public void send(long request, long worker, long waitUs, long startUs) { }

        @Override
        public void cancel(long request, int attempt) { }

        @Override
        public void refuse(long request, long retryAfterUs, Dispatcher.Refusal why) { }

        @Override
        public void fail(long request) { }

        @Override
        public void timer(long afterUs, long token) { }

        @Override
        public void sendToSibling(int worker, byte[] message) {
            told.add(message);
        }

        @Override
        public void watch() { }
    }

    /** Two of fourteen dispatchers, each with some jobs out. */
    @Setup
    public void setUp() {
        sibling = module(1, words);
        for (int i = 0; i < 200; i++) {
            request(sibling, 1_000_000 + i);
        }
        module = module(0, new ArrayList<>() {
            @Override
            public boolean add(byte[] message) {
                return true;
            }
        });
        for (int i = 0; i < OPEN; i++) {
            request(module, ++ids);
        }
    }

    private DispatchPolicy module(int me, List<byte[]> told) {
        DispatchPolicy d = new DispatchPolicy(new Dispatcher.Settings(List.of(new Dispatcher.JobClass(Dispatcher.Effect.SAFE,
                Dispatcher.Group.ALL, 0, 300_000_000, 600_000_000, 2, -1, 1, 0)), List.of(new Dispatcher.Tenant(1, 5 * workers)), me,
                SIBLINGS, 0, false, true, 0, 5_000, new Dispatcher.Limits(4, false, true, true, false, 2_000_000),
                new Dispatcher.Rules(3_000_000, 20_000, 0.3, 9_000_000, 3, 2_000_000, 0),
                new Dispatcher.Prices(0, 0, 60_000_000)), 1, new Out(told));
        List<Dispatcher.Worker> list = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            list.add(new Dispatcher.Worker(1L << 30 | i, 6, Dispatcher.State.READY, 0, 0, 0, i % 2));
        }
        d.start(now);
        d.listUpdated(now, Dispatcher.ListUpdate.WHOLE, list);
        return d;
    }

    private void request(DispatchPolicy d, long id) {
        d.requested(now, new Dispatcher.Request(id, 0, 0, 500_000_000, 600_000, 1, 1, 1 + id % 50));
    }

    /** One request from its coming to its end, with the others that are out. */
    @Benchmark
    public void request() {
        now += 1_000;
        request(module, ++ids);
        module.started(now - 500, ids - OPEN, 0);
        module.ended(now, ids - OPEN, 0, true, Dispatcher.Outcome.SERVED, null);
    }

    /** A sibling's word. */
    @Benchmark
    public void word() {
        next = (next + 1) % words.size();
        module.messageReceived(now, 1, words.get(next));
    }
}
