package granitefold.bench;

import granitefold.Dispatcher;
import granitefold.availability.AvailabilityStateMachine;
import granitefold.availability.AvailabilitySettings;
import granitefold.availability.ProcessPhase;
import granitefold.availability.AvailabilitySignals;
import granitefold.availability.AvailabilityReport;
import granitefold.availability.RequestedMode;
import granitefold.core.Event;
import granitefold.core.OptionalFeatures;
import granitefold.core.FinalAnswer;
import granitefold.core.WorkerList;
import granitefold.core.Reducer;
import granitefold.core.ResourceUsage;
import granitefold.core.AttemptUpdate;
import granitefold.wire.AgentLine;
import granitefold.wire.ClientRequest;
import granitefold.wire.HttpMessages;
import granitefold.wire.NamedSettings;
import granitefold.wire.ProxyHeader;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** What an evaluation and a check cost beside a request served, sockets left out on both sides. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(2)
@Warmup(iterations = 4, time = 1)
@Measurement(iterations = 5, time = 1)
public class ChecksBench {
    private static final int WORKERS = 12;
    private static final AvailabilitySignals SIGNALS = new AvailabilitySignals(ProcessPhase.SERVING, RequestedMode.READY, true, 0, 0, WORKERS, 100, 1, 0.1, 0.1, 0.4,
            0.3, 0.3, 0.4, 900, 60_000_000);
    private static final byte[] PROXY = "PROXY TCP4 192.168.0.1 192.168.0.11 56324 443\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final HttpFields HEAD = HttpFields.build().add("Host", "x").add("X-Org", "acme").add("X-Remaining-Ms", "5000")
            .add("X-Estimate", "100000").add("X-Txn", "9b1f03aa5c7e2d41");

    private final AvailabilityStateMachine machine = new AvailabilityStateMachine(AvailabilitySettings.DEFAULTS, 400);
    private AvailabilityStateMachine.State state = AvailabilityStateMachine.State.initial(0);
    private NamedSettings words;
    private Reducer plain;
    private Reducer watched;
    private long now = 1_000_000_000;
    private long client;

    /** A reducer with a list of workers, serving. */
    @Setup
    public void setUp() {
        Dispatcher.Settings set = new Dispatcher.Settings(List.of(new Dispatcher.JobClass(Dispatcher.Effect.SAFE,
                Dispatcher.Group.ALL, 0, 300_000, 5_000_000, 2, -1, 1, 0)), List.of(new Dispatcher.Tenant(1, 1e6)), 0, 1, 0,
                false, true, 0, 5_000, new Dispatcher.Limits(4, false, true, false, false, 2_000_000),
                new Dispatcher.Rules(3_000_000, 20_000, 0.3, 9_000_000, 3, 2_000_000, 0), new Dispatcher.Prices(0, 0, 60_000_000));
        words = new NamedSettings(Map.of("ficha", 0), Map.of("acme", 0), Map.of(), Map.of(), set, "");
        Reducer.Bounds bounds = new Reducer.Bounds(488, 400, 488, 120_000, 60_000_000);
        plain = opened(new Reducer(set, bounds, 1));
        watched = opened(new Reducer(set, bounds, 1, new OptionalFeatures(AvailabilitySettings.DEFAULTS, null, null, false, false)));
    }

    private Reducer opened(Reducer r) {
        List<WorkerList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            entries.add(new WorkerList.Entry("s-" + i, "127.0.0.1:" + (1000 + i), Dispatcher.State.READY, 1, 0, 0, 0, 0));
        }
        r.reduce(new Event.SocketsOpened(new WorkerList(1, true, entries), "127.0.0.1:1"), now);
        r.reduce(new Event.WatchUpdated(null), now);
        return r;
    }

    @Benchmark
    public AvailabilityReport evaluation() {
        now += 100_000;
        state = machine.next(state, SIGNALS, now);
        return machine.report(state);
    }

    /** What the loop does ten times a second: signals, evaluation, report. */
    @Benchmark
    public Object sample() {
        now += 100_000;
        return watched.reduce(new Event.ResourcesSampled(new ResourceUsage(0.4, 0.2, 0.3, 500)), now);
    }

    @Benchmark
    public byte[] agentAnswer() {
        return AgentLine.encode(machine.report(state), true);
    }

    @Benchmark
    public ProxyHeader proxyHeader() throws Exception {
        return ProxyHeader.decode(ByteBuffer.wrap(PROXY));
    }

    /** A request from its parsed head to its encoded answer, over a kept worker connection. */
    @Benchmark
    public Object requestServed() throws Exception {
        return serve(plain);
    }

    /** The same where the availability machine counts along. */
    @Benchmark
    public Object requestServedWatched() throws Exception {
        return serve(watched);
    }

    private Object serve(Reducer r) throws Exception {
        now += 1000;
        long c = ++client;
        r.reduce(new Event.ClientConnected(c), now);
        long connection = -1;
        for (var e : r.reduce(new Event.RequestArrived(c, ClientRequest.decode("POST", "/ficha", HEAD, new byte[64], words)), now)) {
            if (e instanceof granitefold.core.Effect.ConnectWorker k) {
                connection = k.connection();
            } else if (e instanceof granitefold.core.Effect.SendRequest s) {
                connection = s.connection();
            }
        }
        r.reduce(new Event.WorkerConnected(connection), now);
        r.reduce(new Event.RequestWritten(connection), now);
        r.reduce(new Event.AttemptUpdated(connection, new AttemptUpdate.Started()), now + 100);
        r.reduce(new Event.AttemptUpdated(connection, new AttemptUpdate.Served(new byte[64])), now + 100_000);
        r.reduce(new Event.WorkerAnswerEnded(connection, true), now + 100_000);
        r.reduce(new Event.AnswerWritten(c, false), now + 100_000);
        r.reduce(new Event.ClientClosed(c), now + 100_000);
        now += 100_000;
        return HttpMessages.answer(new FinalAnswer.Served(new byte[64]), false);
    }
}
