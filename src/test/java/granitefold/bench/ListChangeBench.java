package granitefold.bench;

import granitefold.Dispatcher;
import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.State;
import granitefold.policy.DispatchPolicy;
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
import org.openjdk.jmh.annotations.Warmup;

/** Costs of a change of the worker list in the dispatch policy of one dispatcher of a hundred, for several fleet sizes. */
@org.openjdk.jmh.annotations.State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class ListChangeBench {
    private static final int SIBLINGS = 100;

    @Param({"100", "800", "3200", "12800"})
    public int workers;

    private DispatchPolicy policy;
    private long nowUs = 1_000_000_000;
    private long firstWorker;
    private long lastRequest;

    /** Creates a dispatcher that knows all workers and has made one decision. */
    @Setup
    public void setUp() {
        policy = new DispatchPolicy(new Dispatcher.Settings(List.of(new Dispatcher.JobClass(Dispatcher.Effect.SAFE,
                Dispatcher.Group.ALL, 0, 300_000_000, 600_000_000, 2, -1, 1, 0)), List.of(new Dispatcher.Tenant(1, 5 * workers)), 0,
                SIBLINGS, 0, false, true, 0, 5_000, new Dispatcher.Limits(4, false, true, true, false, 2_000_000),
                new Dispatcher.Rules(3_000_000, 20_000, 0.3, 9_000_000, 3, 2_000_000, 0),
                new Dispatcher.Prices(0, 0, 60_000_000)), 1, new NoActions());
        List<Dispatcher.Worker> list = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            list.add(worker(i, State.READY));
        }
        policy.start(nowUs);
        policy.listUpdated(nowUs, ListUpdate.WHOLE, list);
        request();
    }

    private static Dispatcher.Worker worker(long id, State state) {
        return new Dispatcher.Worker(id, 6, state, 0, 0, 0, 0);
    }

    private void request() {
        nowUs += 1_000;
        policy.requested(nowUs, new Dispatcher.Request(++lastRequest, 0, 0, 500_000_000, 600_000, 1, 1, 0));
        policy.ended(nowUs, lastRequest, 0, true, Dispatcher.Outcome.SERVED, null);
    }

    /** One worker is replaced. */
    @Benchmark
    public void change() {
        policy.listUpdated(nowUs, ListUpdate.CHANGES, List.of(worker(firstWorker, State.GONE), worker(firstWorker + workers, State.READY)));
        firstWorker++;
    }

    /** One worker is replaced, and a request comes. */
    @Benchmark
    public void changeAndRequest() {
        change();
        request();
    }

    /** A request comes, with no change before it. */
    @Benchmark
    public void requestWithoutChange() {
        request();
    }
}
