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

/** Costs of a request and of a sibling's message in the dispatch policy, for several fleet sizes. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
public class FleetBench {
    private static final int SIBLINGS = 14, OPEN_REQUESTS = 20;

    @Param({"12", "60", "1000"})
    public int workers;

    private final List<byte[]> messages = new ArrayList<>();
    private DispatchPolicy module;
    private DispatchPolicy sibling;
    private long nowUs = 1_000_000_000;
    private long lastId;
    private int nextMessage;

    private static final class RecordingActions extends NoActions {
        private final List<byte[]> sentMessages;

        RecordingActions(List<byte[]> sentMessages) {
            this.sentMessages = sentMessages;
        }

        @Override
        public void sendToSibling(int sibling, byte[] message) {
            sentMessages.add(message);
        }
    }

    /** Creates two of fourteen dispatchers, each with some open jobs. */
    @Setup
    public void setUp() {
        sibling = createModule(1, messages);
        for (int i = 0; i < 200; i++) {
            request(sibling, 1_000_000 + i);
        }
        module = createModule(0, new ArrayList<>() {
            @Override
            public boolean add(byte[] message) {
                return true;
            }
        });
        for (int i = 0; i < OPEN_REQUESTS; i++) {
            request(module, ++lastId);
        }
    }

    private DispatchPolicy createModule(int index, List<byte[]> sentMessages) {
        DispatchPolicy policy = new DispatchPolicy(new Dispatcher.Settings(List.of(new Dispatcher.JobClass(Dispatcher.Effect.SAFE,
                Dispatcher.Group.ALL, 0, 300_000_000, 600_000_000, 2, -1, 1, 0)), List.of(new Dispatcher.Tenant(1, 5 * workers)), index,
                SIBLINGS, 0, false, true, 0, 5_000, new Dispatcher.Limits(4, false, true, true, false, 2_000_000),
                new Dispatcher.Rules(3_000_000, 20_000, 0.3, 9_000_000, 3, 2_000_000, 0),
                new Dispatcher.Prices(0, 0, 60_000_000)), 1, new RecordingActions(sentMessages));
        List<Dispatcher.Worker> workerList = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            workerList.add(new Dispatcher.Worker(1L << 30 | i, 6, Dispatcher.State.READY, 0, 0, 0, i % 2));
        }
        policy.start(nowUs);
        policy.listUpdated(nowUs, Dispatcher.ListUpdate.WHOLE, workerList);
        return policy;
    }

    private void request(DispatchPolicy policy, long id) {
        policy.requested(nowUs, new Dispatcher.Request(id, 0, 0, 500_000_000, 600_000, 1, 1, 1 + id % 50));
    }

    /** One request from its arrival to its end, with others open at the same time. */
    @Benchmark
    public void request() {
        nowUs += 1_000;
        request(module, ++lastId);
        module.started(nowUs - 500, lastId - OPEN_REQUESTS, 0);
        module.ended(nowUs, lastId - OPEN_REQUESTS, 0, true, Dispatcher.Outcome.SERVED, null);
    }

    /** One message from a sibling. */
    @Benchmark
    public void messageFromSibling() {
        nextMessage = (nextMessage + 1) % messages.size();
        module.messageReceived(nowUs, 1, messages.get(nextMessage));
    }
}
