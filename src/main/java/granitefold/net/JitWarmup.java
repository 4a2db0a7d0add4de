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
 * Lets the JVM compile what a request runs through, before any comes: made-up requests go through the codecs and a reducer
 * of their own, with this dispatcher's settings and workers, and end there. Nothing is opened, sent or kept. Worth its time only
 * where another process serves meanwhile.
 */
final class JitWarmup {
    /** The JVM's client compiler takes what has run some 200 times, or 2,000 with its loops. */
    private static final int REQUESTS = 1_500;
    /** The new version has 6 s to say that it serves, and needs about one to start. */
    private static final long MOST_NS = TimeUnit.MILLISECONDS.toNanos(2_000);
    private static final long STEP_US = 10_000;
    /** Requests in hand at a time. */
    private static final int OPEN = 8;

    private final Config config;
    private final Reducer reducer;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final String[] classes;
    private final String[] tenants;
    private long now = 1_000_000_000L;
    private int answered;

    private JitWarmup(Config config, Reducer.Bounds bounds) {
        this.config = config;
        reducer = new Reducer(config.namedSettings().settings(), bounds, config.seed());
        classes = config.namedSettings().classes().keySet().toArray(String[]::new);
        tenants = config.namedSettings().tenants().keySet().toArray(String[]::new);
    }

    /** Runs it; returns how many requests were answered, for the log. */
    static int run(Config config, Reducer.Bounds bounds) {
        return new JitWarmup(config, bounds).run();
    }

    private int run() {
        List<WorkerList.Entry> workers = new ArrayList<>();
        for (WorkerList.Entry e : config.initialWorkers().entries()) {
            // the reducer's clock is made up: none of them has just started
            workers.add(new WorkerList.Entry(e.name(), e.address(), e.state(), e.weight(), 0, e.zone(), e.cell(), e.kind()));
        }
        play(new Event.SocketsOpened(new WorkerList(1, true, workers), "127.0.0.1:1"));
        play(new Event.WatchUpdated(null));
        long began = System.nanoTime();
        long until = began + MOST_NS;
        for (int i = 0; i < REQUESTS && System.nanoTime() - until < 0; i++) {
            now += STEP_US;
            Submission s = submission(i);
            if (s != null) {
                play(new Event.ClientConnected(i));
                play(new Event.RequestArrived(i, s));
            }
            if (i % OPEN == OPEN - 1) {
                now += OPEN * STEP_US;
                play(new Event.Woken());
                // the process that serves meanwhile has the same core: it gets every second slice of it
                LockSupport.parkNanos(System.nanoTime() - began);
                began = System.nanoTime();
            }
        }
        return answered;
    }

    private Submission submission(int i) {
        String tenant = tenants.length == 0 ? "" : "X-Org: " + tenants[i % tenants.length] + "\r\n";
        String text = "POST /" + classes[i % classes.length] + "?sid=" + Integer.toHexString(i % 64) + " HTTP/1.1\r\nHost: x\r\nX-Txn: w"
                + i + "\r\n" + tenant + "X-Remaining-Ms: 5000\r\nX-Estimate: 100000\r\nX-Labels: slots=1,memory=1\r\n"
                + "Idempotency-Key: w" + i + "\r\nContent-Length: 4\r\n\r\nsoup";
        Parsed parsed = new Parsed();
        new HttpParser(parsed, text.length()).parseNext(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
        try {
            return ClientRequest.decode("POST", parsed.target, parsed.head, new byte[4], config.namedSettings());
        } catch (BadRequestException e) {
            // a class or tenant whose name no target can hold
            return null;
        }
    }

    private void play(Event event) {
        events.add(event);
        while (!events.isEmpty()) {
            for (Effect e : List.copyOf(reducer.reduce(events.remove(), now))) {
                perform(e);
            }
        }
    }

    /** Plays the workers and the clients, all of them well and at once. */
    private void perform(Effect effect) {
        if (effect instanceof Effect.ConnectWorker e) {
            events.add(new Event.WorkerConnected(e.connection()));
        } else if (effect instanceof Effect.SendRequest e) {
            ClientRequest request = (ClientRequest) e.payload();
            HttpMessages.workerRequest(request, "127.0.0.1:1", e.expiresAt() - now);
            events.add(new Event.RequestWritten(e.connection()));
            for (String state : new String[] {"started", "done\",\"result\":\"made"}) {
                byte[] line = ("{\"id\":\"" + request.txn() + "\",\"from\":\"w\",\"state\":\"" + state + "\"}")
                        .getBytes(StandardCharsets.UTF_8);
                AttemptUpdate news = WorkerLine.decode(line, 0, line.length, request.txn());
                events.add(new Event.AttemptUpdated(e.connection(), news));
            }
            events.add(new Event.WorkerAnswerEnded(e.connection(), true));
        } else if (effect instanceof Effect.Answer e) {
            answered++;
            HttpMessages.answer(e.answer(), false);
            events.add(new Event.AnswerWritten(e.client(), false));
            events.add(new Event.ClientClosed(e.client()));
        }
    }

    /** What the parser finds. */
    private static final class Parsed implements HttpParser.RequestHandler {
        private final HttpFields.Mutable head = HttpFields.build();
        private String target;

        @Override
        public void startRequest(String method, String uri, HttpVersion version) {
            target = uri;
        }

        @Override
        public void parsedHeader(HttpField field) {
            head.add(field);
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
