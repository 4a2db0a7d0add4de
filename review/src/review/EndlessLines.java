package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One dispatcher, ten cocineros, the usual traffic. From some time on, one in twenty of the cocineros' answers is spoilt: its body goes on with
 * empty lines and never ends.
 */
final class EndlessLines {
    private static final int COCINEROS = 10;
    private static final double JOBS_PER_S = 40, SECONDS = 24, SPOILT_FROM = 5;
    private static final int SPOILT_ONE_IN = 20;
    private static final int EMPTY_LINES = 1 << 16;
    private static final byte[] CHUNK_OF_EMPTY_LINES = (Integer.toHexString(EMPTY_LINES) + "\r\n" + "\n".repeat(EMPTY_LINES) + "\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
    private static final String[] CLASSES = {"ficha", "escalar", "guardar-cuaderno"};
    private static final int[] DEADLINES_MS = {5000, 12000, 7500};
    /** An answer may come this much later than the client's time before the request is lost. */
    private static final double ANSWER_SLACK_S = 0.5;

    public static void main(String[] args) {
        Lab.main(args, EndlessLines::play);
    }

    private static int play(Lab lab) throws Exception {
        Discovery discovery = new Discovery();
        AtomicInteger spoilt = new AtomicInteger(), answers = new AtomicInteger();
        AtomicLong spoiltBytes = new AtomicLong();
        double[] begin = {Double.MAX_VALUE};
        for (int i = 0; i < COCINEROS; i++) {
            String name = "s-cocina" + i;
            Server server = new Server((request, connection) -> {
                String txn = request.head("X-Txn");
                String line = "{\"id\":\"" + txn + "\",\"from\":\"" + name + "\",\"state\":\"";
                connection.startChunks();
                connection.chunk(line + "started\"}\n");
                if (lab.trouble && lab.now() > begin[0] + SPOILT_FROM && answers.getAndIncrement() % SPOILT_ONE_IN == 0) {
                    spoilt.incrementAndGet();
                    lab.say(name, "begins a spoilt answer to " + txn);
                    try {
                        // until the dispatcher ends the connection, or the play is over
                        while (lab.now() < begin[0] + SECONDS + 8) {
                            connection.socket.getOutputStream().write(CHUNK_OF_EMPTY_LINES);
                            spoiltBytes.addAndGet(EMPTY_LINES);
                        }
                        lab.say(name, "the play ended the spoilt answer to " + txn + "; all had " + spoiltBytes + " bytes");
                    } catch (IOException e) {
                        lab.say(name, "the dispatcher ended the spoilt answer to " + txn + "; all had " + spoiltBytes + " bytes");
                    }
                    connection.socket.close();
                    return;
                }
                Lab.sleep(0.15);
                connection.chunk(line + "done\",\"result\":\"receta de " + txn + "\"}\n");
                connection.endChunks();
            });
            discovery.list(Discovery.entry(name, server.address, "sala-rosario", i % 2 == 0 ? "nuevo-5n" : "viejo-6n", "up"));
        }
        Dispatcher dispatcher = lab.dispatcher(Sites.config("n0", Lab.freePort(), discovery.address, 192, 1024, discovery.known(),
                Sites.rosario(0, 1)));
        dispatcher.awaitReady();

        AtomicInteger sent = new AtomicInteger(), served = new AtomicInteger(), refused = new AtomicInteger(), failed = new AtomicInteger();
        List<String> lost = Collections.synchronizedList(new ArrayList<>()), foreign = Collections.synchronizedList(new ArrayList<>());
        List<Thread> clients = new ArrayList<>();
        begin[0] = lab.now();
        for (int i = 0; i < SECONDS * JOBS_PER_S; i++) {
            lab.sleepUntil(begin[0] + i / JOBS_PER_S);
            if (i % JOBS_PER_S == 0) {
                lab.say("clients", "sent " + sent + ", served " + served + ", refused " + refused + ", failed " + failed + ", lost " + lost.size());
            }
            int jobClass = i % CLASSES.length;
            String txn = "job-" + i;
            sent.incrementAndGet();
            clients.add(Server.thread(() -> {
                double at = lab.now();
                try (Client client = new Client(dispatcher.port)) {
                    client.send(Client.job("/" + CLASSES[jobClass] + "?sid=" + Integer.toHexString(txn.hashCode()), txn, "cocina-de-casa",
                            DEADLINES_MS[jobClass], jobClass == 2 ? "Idempotency-Key: key-" + txn + "\r\n" : "", "hola"));
                    Client.Answer answer = client.receive(DEADLINES_MS[jobClass] / 1000.0 + ANSWER_SLACK_S);
                    (answer.status() == 200 ? served : answer.status() == 503 || answer.status() == 429 ? refused : failed).incrementAndGet();
                    if (answer.status() == 200 && !answer.body().equals("receta de " + txn)) {
                        foreign.add(txn);
                    }
                    if (answer.status() != 200) {
                        lab.say("client", String.format("%s /%s: %d after %.2f s", txn, CLASSES[jobClass], answer.status(), lab.now() - at));
                    }
                } catch (IOException e) {
                    lost.add(txn);
                    lab.say("client", String.format("%s /%s: no answer after %.2f s of %.1f s: %s", txn, CLASSES[jobClass], lab.now() - at,
                            DEADLINES_MS[jobClass] / 1000.0, e.getMessage()));
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        lab.say("clients", "sent " + sent + ", served " + served + ", refused " + refused + ", failed " + failed + ", lost " + lost.size());
        if (!dispatcher.alive()) {
            lab.say("check", "the dispatcher has ended");
        }
        dispatcher.recordLog();
        boolean broken = !lost.isEmpty() || !foreign.isEmpty() || !dispatcher.alive();
        lab.say("check", broken ? "BROKEN: " + lost.size() + " of " + sent + " requests got no final answer within 0.5 s after their time, with "
                + spoilt + " spoilt answers" : "held");
        return broken ? Lab.BROKEN : Lab.HELD;
    }
}
