package review;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One dispatcher, twelve cocineros, the site's usual traffic. For some seconds a crowd comes beside it: clients that send a part of one request and
 * then stay. All usual clients, all cocineros and discovery are sound. Half of the usual clients ask for a 100 (Continue) before they send the body,
 * which shows that the dispatcher has read the request's head.
 */
final class StoppedHalfWay {
    private static final int COCINEROS = 12, SLOTS = 6;
    private static final int SOCKETS = 1024, MEMORY_MB = 192;
    /** For requests, clients hold at most a third of the descriptors. */
    private static final int CLIENTS = SOCKETS / 3;
    private static final double SECONDS = 22, JOBS_PER_S = 60;
    /** The crowd: each of its clients comes once, sends this much of one body, and stays until the dispatcher ends its connection. */
    private static final double CROWD_FROM = 5, CROWD_S = 12, CROWD_PER_S = 250;
    private static final int CROWD_BODY_BYTES = 64 * 1024, CROWD_SENT_BYTES = 40 * 1024;
    /** The site's classes: of a hundred jobs, how many are of each, what one takes, its client's time, and the lengths of its bodies. */
    private static final String[] CLASSES = {"ficha", "escalar", "guardar-cuaderno"};
    private static final int[] SHARES = {38, 33, 29}, RUN_MS = {160, 980, 650}, DEADLINES_MS = {5000, 12000, 7500};
    private static final int[] MIN_BODY_BYTES = {100, 6_000, 6_000}, MAX_BODY_BYTES = {1_000, 28_000, 28_000};
    private static final String TEXT = "receta ".repeat(MAX_BODY_BYTES[1] / 7 + 1);
    /** An answer may come this much later than the client's time before the request is lost. */
    private static final double ANSWER_SLACK_S = 0.5;

    private final Lab lab;
    private final AtomicInteger sent = new AtomicInteger(), served = new AtomicInteger(), refused = new AtomicInteger(), failed = new AtomicInteger(),
            foreign = new AtomicInteger(), cut = new AtomicInteger(), open = new AtomicInteger(), skipped = new AtomicInteger();
    /** Requests written whole, whose connection the dispatcher ended without an answer; and those of them of which it had visibly read the head. */
    private final List<String> lost = Collections.synchronizedList(new ArrayList<>()), lostAsRead = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger crowd = new AtomicInteger(), crowdOpen = new AtomicInteger(), crowdAnswered = new AtomicInteger(), crowdEnded = new AtomicInteger();
    private final List<String> run = Collections.synchronizedList(new ArrayList<>());

    private StoppedHalfWay(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] args) {
        Lab.main(args, lab -> new StoppedHalfWay(lab).play());
    }

    /** A cocinero with a few slots: jobs wait for one in order, then run for as long as their class takes. */
    private Server cocinero(String name) throws IOException {
        Semaphore slots = new Semaphore(SLOTS, true);
        return new Server((request, connection) -> {
            String txn = request.head("X-Txn");
            run.add(txn);
            String line = "{\"id\":\"" + txn + "\",\"from\":\"" + name + "\",\"state\":\"";
            connection.startChunks();
            slots.acquire();
            try {
                connection.chunk(line + "started\"}\n");
                Lab.sleep(RUN_MS[List.of(CLASSES).indexOf(request.target().split("[/?]")[1])] / 1000.0);
            } finally {
                slots.release();
            }
            connection.chunk(line + "done\",\"result\":\"receta de " + txn + ", " + request.body().length() + "\"}\n");
            connection.endChunks();
        });
    }

    private int play() throws Exception {
        Discovery discovery = new Discovery();
        for (int i = 0; i < COCINEROS; i++) {
            discovery.list(Discovery.entry("s-cocina" + i, cocinero("s-cocina" + i).address, "sala-rosario", i % 2 == 0 ? "nuevo-5n" : "viejo-6n", "up"));
        }
        Dispatcher dispatcher = lab.dispatcher(Sites.config("n0", Lab.freePort(), discovery.address, MEMORY_MB, SOCKETS, discovery.known(),
                Sites.rosario(0, 1)));
        dispatcher.awaitReady();
        List<Thread> clients = new ArrayList<>();
        Random random = new Random(42);
        double begin = lab.now();
        if (lab.trouble) {
            Server.thread(() -> crowd(dispatcher, begin + CROWD_FROM));
        }
        for (int i = 0; i < SECONDS * JOBS_PER_S && dispatcher.alive(); i++) {
            lab.sleepUntil(begin + i / JOBS_PER_S);
            if (i % JOBS_PER_S == 0) {
                report("usual traffic, ");
            }
            // spreads the classes evenly by their shares
            int draw = i * 37 % 100, jobClass = draw < SHARES[0] ? 0 : draw < SHARES[0] + SHARES[1] ? 1 : 2;
            String body = TEXT.substring(0, MIN_BODY_BYTES[jobClass] + random.nextInt(MAX_BODY_BYTES[jobClass] - MIN_BODY_BYTES[jobClass]));
            boolean askFirst = i % 2 == 0;
            if (open.get() >= CLIENTS) {
                skipped.incrementAndGet();
                continue;
            }
            String txn = "job-" + i;
            open.incrementAndGet();
            clients.add(Server.thread(() -> {
                try {
                    request(dispatcher, txn, jobClass, body, askFirst);
                } finally {
                    open.decrementAndGet();
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        report("end, ");
        dispatcher.recordLog();
        boolean broken = !lostAsRead.isEmpty() || foreign.get() > 0 || !dispatcher.alive();
        lab.say("check", (broken ? "BROKEN: " : "held: ") + lost.size() + " of " + sent + " requests were written whole to a new connection that the "
                + "dispatcher ended without any answer; it had said 100 (Continue) to " + lostAsRead.size() + " of these; " + foreign + " wrong answers"
                + (dispatcher.alive() ? "" : "; the dispatcher has ended"));
        return broken ? Lab.BROKEN : Lab.HELD;
    }

    private void report(String when) {
        lab.say("clients", when + "sent " + sent + ", served " + served + ", refused " + refused + ", failed " + failed + ", lost " + lost.size()
                + " (as read " + lostAsRead.size() + "), ended before written whole " + cut + ", open " + open + ", not sent for want of a connection "
                + skipped + "; crowd " + crowd + ", now open " + crowdOpen + ", got an error " + crowdAnswered + ", ended " + crowdEnded);
    }

    /** The crowd: clients that connect, send a part of a request at full speed, and read whatever is sent to them. */
    private void crowd(Dispatcher dispatcher, double from) throws InterruptedException {
        for (int i = 0; i < CROWD_S * CROWD_PER_S; i++) {
            lab.sleepUntil(from + i / CROWD_PER_S);
            String text = "POST /escalar?sid=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: crowd-" + i + "\r\nX-Org: dulce-tarde\r\nX-Remaining-Ms: 12000\r\n"
                    + "Content-Length: " + CROWD_BODY_BYTES + "\r\n\r\n" + "c".repeat(CROWD_SENT_BYTES);
            crowd.incrementAndGet();
            crowdOpen.incrementAndGet();
            Server.thread(() -> {
                boolean answered = false;
                try (Client client = new Client(dispatcher.port)) {
                    client.send(text);
                    client.receive(6);
                    answered = true;
                } finally {
                    crowdOpen.decrementAndGet();
                    (answered ? crowdAnswered : crowdEnded).incrementAndGet();
                }
            });
        }
    }

    /** One request on a new connection, with one answer; no retry. */
    private void request(Dispatcher dispatcher, String txn, int jobClass, String body, boolean askFirst) {
        boolean continued = false, written = false;
        double since = lab.now();
        try (Client client = new Client(dispatcher.port)) {
            sent.incrementAndGet();
            String request = Client.job("/" + CLASSES[jobClass] + "?sid=" + Integer.toHexString(txn.hashCode()), txn, "cocina-de-casa",
                    DEADLINES_MS[jobClass], "X-Estimate: " + RUN_MS[jobClass] * 1000 + "\r\n" + (askFirst ? "Expect: 100-continue\r\n" : "")
                    + (jobClass == 2 ? "Idempotency-Key: key-" + txn + "\r\n" : ""), body);
            if (askFirst) {
                client.send(request.substring(0, request.length() - body.length()));
                continued = client.awaitContinue(DEADLINES_MS[jobClass] / 1000.0);
                request = continued ? body : "";
            }
            client.send(request);
            written = !askFirst || continued;
            Client.Answer answer = client.receive(DEADLINES_MS[jobClass] / 1000.0 + ANSWER_SLACK_S);
            (answer.status() == 200 ? served : answer.status() == 503 || answer.status() == 429 ? refused : failed).incrementAndGet();
            if (answer.status() == 200 && !answer.body().equals("receta de " + txn + ", " + body.length())) {
                foreign.incrementAndGet();
                lab.say("client", txn + ": a wrong answer: " + answer.body());
            }
        } catch (IOException e) {
            (written ? lost : new ArrayList<String>()).add(txn);
            (written && continued ? lostAsRead : new ArrayList<String>()).add(txn);
            cut.addAndGet(written ? 0 : 1);
            lab.say("client", String.format("%s /%s of %d bytes: %s%s, after %.3f s without an answer: %s%s; %s", txn, CLASSES[jobClass], body.length(),
                    continued ? "100 (Continue) came, " : "", written ? "written whole" : "not written whole", lab.now() - since,
                    e instanceof EOFException || e instanceof SocketException ? "the dispatcher ended the connection, " : "", e.getMessage(),
                    run.contains(txn) ? "a cocinero got it" : "no cocinero got it"));
        }
    }
}
