package granitefold.net;

import granitefold.core.Effect;
import granitefold.core.Event;
import granitefold.core.WorkerList;
import granitefold.core.Reducer;
import granitefold.core.Submission;
import granitefold.core.AttemptUpdate;
import granitefold.wire.BadRequestException;
import granitefold.wire.ClientRequest;
import granitefold.wire.Config;
import granitefold.wire.HttpMessages;
import granitefold.wire.WorkerLine;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Makes the JVM compile the request path before the first client request: synthetic requests pass through the codecs and a separate
 * reducer with this dispatcher's settings and workers. It opens no connection, sends nothing and keeps no state. It delays the
 * start, so it is worthwhile only while another process is serving.
 */
final class JitWarmup {
    /** C1 compiles a method after about 200 invocations, or after 2,000 invocations and loop iterations together. */
    private static final int REQUESTS = 1_500;
    /** A new version has 6 s to report that it serves, and takes about 1 s to start. */
    private static final long MAX_DURATION_NS = TimeUnit.MILLISECONDS.toNanos(2_000);
    private static final long REQUEST_INTERVAL_US = 10_000;
    private static final int CONCURRENT_REQUESTS = 8;

    private final Config config;
    private final Reducer reducer;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final String[] classes;
    private final String[] tenants;
    private long nowUs = 1_000_000_000L;
    private int answeredRequests;

    private JitWarmup(Config config, Reducer.Bounds bounds) {
        this.config = config;
        reducer = new Reducer(config.namedSettings().settings(), bounds, config.seed());
        classes = config.namedSettings().classes().keySet().toArray(String[]::new);
        tenants = config.namedSettings().tenants().keySet().toArray(String[]::new);
    }

    /** Runs the warm-up; returns the number of answered requests, for the log. */
    static int run(Config config, Reducer.Bounds bounds) {
        return new JitWarmup(config, bounds).run();
    }

    private int run() {
        List<WorkerList.Entry> workers = new ArrayList<>();
        for (WorkerList.Entry e : config.initialWorkers().entries()) {
            // this reducer's clock is simulated: start time 0 keeps workers from counting as just started
            workers.add(new WorkerList.Entry(e.name(), e.address(), e.state(), e.weight(), 0, e.zone(), e.cell(), e.kind()));
        }
        process(new Event.SocketsOpened(new WorkerList(1, true, workers), "127.0.0.1:1"));
        process(new Event.WatchUpdated(null));
        long sliceStartNs = System.nanoTime();
        long deadlineNs = sliceStartNs + MAX_DURATION_NS;
        for (int i = 0; i < REQUESTS && System.nanoTime() - deadlineNs < 0; i++) {
            nowUs += REQUEST_INTERVAL_US;
            Submission submission = submission(i);
            if (submission != null) {
                process(new Event.ClientConnected(i));
                process(new Event.RequestArrived(i, submission));
            }
            if (i % CONCURRENT_REQUESTS == CONCURRENT_REQUESTS - 1) {
                nowUs += CONCURRENT_REQUESTS * REQUEST_INTERVAL_US;
                process(new Event.Woken());
                // sleeps as long as it has just run, so that a serving process on the same core gets every second time slice
                LockSupport.parkNanos(System.nanoTime() - sliceStartNs);
                sliceStartNs = System.nanoTime();
            }
        }
        return answeredRequests;
    }

    private Submission submission(int i) {
        String tenant = tenants.length == 0 ? "" : "X-Org: " + tenants[i % tenants.length] + "\r\n";
        String text = "POST /" + classes[i % classes.length] + "?sid=" + Integer.toHexString(i % 64) + " HTTP/1.1\r\nHost: x\r\nX-Txn: w"
                + i + "\r\n" + tenant + "X-Remaining-Ms: 5000\r\nX-Estimate: 100000\r\nX-Labels: slots=1,memory=1\r\n"
                + "Idempotency-Key: w" + i + "\r\nContent-Length: 4\r\n\r\nsoup";
        ParsedRequest parsed = new ParsedRequest();
        new HttpParser(parsed, text.length()).parseNext(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
        try {
            return ClientRequest.decode("POST", parsed.target, parsed.headers, new byte[4], config.namedSettings());
        } catch (BadRequestException e) {
            // the name of the class or tenant is not valid in a request target or header
            return null;
        }
    }

    private void process(Event event) {
        events.add(event);
        while (!events.isEmpty()) {
            for (Effect e : List.copyOf(reducer.reduce(events.remove(), nowUs))) {
                perform(e);
            }
        }
    }

    /** Simulates workers and clients that respond successfully and without delay. */
    private void perform(Effect effect) {
        if (effect instanceof Effect.ConnectWorker e) {
            events.add(new Event.WorkerConnected(e.connection()));
        } else if (effect instanceof Effect.SendRequest e) {
            ClientRequest request = (ClientRequest) e.payload();
            HttpMessages.workerRequest(request, "127.0.0.1:1", e.expiresAt() - nowUs);
            events.add(new Event.RequestWritten(e.connection()));
            for (String state : new String[] {"started", "done\",\"result\":\"made"}) {
                byte[] line = ("{\"id\":\"" + request.txn() + "\",\"from\":\"w\",\"state\":\"" + state + "\"}")
                        .getBytes(StandardCharsets.UTF_8);
                AttemptUpdate update = WorkerLine.decode(line, 0, line.length, request.txn());
                events.add(new Event.AttemptUpdated(e.connection(), update));
            }
            events.add(new Event.WorkerAnswerEnded(e.connection(), true));
        } else if (effect instanceof Effect.Answer e) {
            answeredRequests++;
            HttpMessages.answer(e.answer(), false);
            events.add(new Event.AnswerWritten(e.client(), false));
            events.add(new Event.ClientClosed(e.client()));
        }
    }

    /** Collects the target and the header fields of a parsed request. */
    private static final class ParsedRequest implements HttpParser.RequestHandler {
        private final HttpFields.Mutable headers = HttpFields.build();
        private String target;

        @Override
        public void startRequest(String method, String uri, HttpVersion version) {
            target = uri;
        }

        @Override
        public void parsedHeader(HttpField field) {
            headers.add(field);
        }

        @Override
        public boolean headerComplete() {
            return false;
        }

        @Override
        public boolean content(ByteBuffer content) {
            content.position(content.limit());
            return false;
        }

        @Override
        public boolean contentComplete() {
            return false;
        }

        @Override
        public boolean messageComplete() {
            return true;
        }

        @Override
        public void earlyEOF() { }
    }
}
