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

/** Costs of an availability evaluation and of a health check, compared with a served request, all without sockets. */
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
    private static final byte[] PROXY_LINE = "PROXY TCP4 192.168.0.1 192.168.0.11 56324 443\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final HttpFields HEADERS = HttpFields.build().add("Host", "x").add("X-Org", "acme").add("X-Remaining-Ms", "5000")
            .add("X-Estimate", "100000").add("X-Txn", "9b1f03aa5c7e2d41");

    private final AvailabilityStateMachine machine = new AvailabilityStateMachine(AvailabilitySettings.DEFAULTS, 400);
    private AvailabilityStateMachine.State state = AvailabilityStateMachine.State.initial(0);
    private NamedSettings namedSettings;
    private Reducer withoutAvailability;
    private Reducer withAvailability;
    private long nowUs = 1_000_000_000;
    private long lastClient;

    /** Creates two serving reducers with a list of workers, without and with the availability state machine. */
    @Setup
    public void setUp() {
        Dispatcher.Settings settings = new Dispatcher.Settings(List.of(new Dispatcher.JobClass(Dispatcher.Effect.SAFE,
                Dispatcher.Group.ALL, 0, 300_000, 5_000_000, 2, -1, 1, 0)), List.of(new Dispatcher.Tenant(1, 1e6)), 0, 1, 0,
                false, true, 0, 5_000, new Dispatcher.Limits(4, false, true, false, false, 2_000_000),
                new Dispatcher.Rules(3_000_000, 20_000, 0.3, 9_000_000, 3, 2_000_000, 0), new Dispatcher.Prices(0, 0, 60_000_000));
        namedSettings = new NamedSettings(Map.of("ficha", 0), Map.of("acme", 0), Map.of(), Map.of(), settings, "");
        Reducer.Bounds bounds = new Reducer.Bounds(488, 400, 488, 120_000, 60_000_000);
        withoutAvailability = withWorkers(new Reducer(settings, bounds, 1));
        withAvailability = withWorkers(new Reducer(settings, bounds, 1, new OptionalFeatures(AvailabilitySettings.DEFAULTS, null, null, false, false)));
    }

    private Reducer withWorkers(Reducer reducer) {
        List<WorkerList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            entries.add(new WorkerList.Entry("s-" + i, "127.0.0.1:" + (1000 + i), Dispatcher.State.READY, 1, 0, 0, 0, 0));
        }
        reducer.reduce(new Event.SocketsOpened(new WorkerList(1, true, entries), "127.0.0.1:1"), nowUs);
        reducer.reduce(new Event.WatchUpdated(null), nowUs);
        return reducer;
    }

    @Benchmark
    public AvailabilityReport evaluation() {
        nowUs += 100_000;
        state = machine.next(state, SIGNALS, nowUs);
        return machine.report(state);
    }

    /** The event loop's periodic sample, ten times a second: signals, evaluation, report. */
    @Benchmark
    public Object sample() {
        nowUs += 100_000;
        return withAvailability.reduce(new Event.ResourcesSampled(new ResourceUsage(0.4, 0.2, 0.3, 500)), nowUs);
    }

    @Benchmark
    public byte[] agentAnswer() {
        return AgentLine.encode(machine.report(state), true);
    }

    @Benchmark
    public ProxyHeader proxyHeader() throws Exception {
        return ProxyHeader.decode(ByteBuffer.wrap(PROXY_LINE));
    }

    /** A request from its parsed head to its encoded answer, over a kept worker connection. */
    @Benchmark
    public Object requestServed() throws Exception {
        return serve(withoutAvailability);
    }

    /** The same with the availability state machine enabled. */
    @Benchmark
    public Object requestServedWithAvailability() throws Exception {
        return serve(withAvailability);
    }

    private Object serve(Reducer reducer) throws Exception {
        nowUs += 1000;
        long client = ++lastClient;
        reducer.reduce(new Event.ClientConnected(client), nowUs);
        long connection = -1;
        for (var effect : reducer.reduce(new Event.RequestArrived(client, ClientRequest.decode("POST", "/ficha", HEADERS, new byte[64], namedSettings)), nowUs)) {
            if (effect instanceof granitefold.core.Effect.ConnectWorker connect) {
                connection = connect.connection();
            } else if (effect instanceof granitefold.core.Effect.SendRequest send) {
                connection = send.connection();
            }
        }
        reducer.reduce(new Event.WorkerConnected(connection), nowUs);
        reducer.reduce(new Event.RequestWritten(connection), nowUs);
        reducer.reduce(new Event.AttemptUpdated(connection, new AttemptUpdate.Started()), nowUs + 100);
        reducer.reduce(new Event.AttemptUpdated(connection, new AttemptUpdate.Served(new byte[64])), nowUs + 100_000);
        reducer.reduce(new Event.WorkerAnswerEnded(connection, true), nowUs + 100_000);
        reducer.reduce(new Event.AnswerWritten(client, false), nowUs + 100_000);
        reducer.reduce(new Event.ClientClosed(client), nowUs + 100_000);
        nowUs += 100_000;
        return HttpMessages.answer(new FinalAnswer.Served(new byte[64]), false);
    }
}
