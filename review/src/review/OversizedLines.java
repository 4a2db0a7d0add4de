package review;

import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One dispatcher with the memory and the descriptors of a small one, twelve cocineros, the usual traffic. A quarter of the cocineros' answers
 * are spoilt: a line that never ends, at 96 KiB a second.
 */
final class OversizedLines {
    private static final int COCINEROS = 12;
    private static final int SOCKETS = 256, MEMORY_MB = 96;
    /** For requests, clients hold at most a third of the descriptors. */
    private static final int CLIENTS = 80;
    private static final double SECONDS = 80, JOBS_PER_S = 75, SPOILT_SHARE = 0.25;
    private static final int SPOILT_BYTES_PER_S = 96 * 1024;
    private static final double ANSWER_SLACK_S = 0.5;

    public static void main(String[] args) {
        Lab.main(args, OversizedLines::play);
    }

    private static int play(Lab lab) throws Exception {
        Discovery discovery = new Discovery();
        AtomicInteger spoiltNow = new AtomicInteger(), spoilt = new AtomicInteger();
        Random random = new Random(42);
        String filler = "x".repeat(SPOILT_BYTES_PER_S / 10);
        for (int i = 0; i < COCINEROS; i++) {
            String cocinero = "s-cocina" + i;
            Server server = new Server((request, connection) -> {
                String txn = request.head("X-Txn");
                String line = "{\"id\":\"" + txn + "\",\"from\":\"" + cocinero + "\",\"state\":\"";
                boolean spoil;
                synchronized (random) {
                    spoil = lab.trouble && random.nextDouble() < SPOILT_SHARE;
                }
                connection.startChunks();
                connection.chunk(line + "started\"}\n");
                Lab.sleep(0.15);
                if (spoil) {
                    spoilt.incrementAndGet();
                    spoiltNow.incrementAndGet();
                    try {
                        connection.chunk(line + "done\",\"result\":\"");
                        while (true) {
                            connection.chunk(filler);
                            Lab.sleep(0.1);
                        }
                    } finally {
                        spoiltNow.decrementAndGet();
                    }
                }
                connection.chunk(line + "done\",\"result\":\"receta\"}\n");
                connection.endChunks();
            });
            discovery.list(Discovery.entry(cocinero, server.address, "sala-rosario", i % 2 == 0 ? "nuevo-5n" : "viejo-6n", "up"));
        }
        Dispatcher dispatcher = lab.dispatcher(Sites.config("n0", Lab.freePort(), discovery.address, MEMORY_MB, SOCKETS, discovery.known(),
                Sites.rosario(0, 1)));
        dispatcher.awaitReady();
        // the usual traffic: as many jobs a second as its clients' connections allow
        AtomicInteger open = new AtomicInteger(), served = new AtomicInteger(), refused = new AtomicInteger(), failed = new AtomicInteger(),
                lost = new AtomicInteger(), sent = new AtomicInteger();
        double begin = lab.now();
        String[] classes = {"ficha", "escalar", "guardar-cuaderno"};
        int[] deadlines = {5000, 12000, 7500};
        double lastReport = 0;
        for (int i = 0; lab.now() < begin + SECONDS && dispatcher.alive(); i++) {
            lab.sleepUntil(begin + i / JOBS_PER_S);
            if (lab.now() - lastReport > 1) {
                lastReport = lab.now();
                lab.say("now", "sent " + sent + " served " + served + " refused " + refused + " failed " + failed + " lost " + lost + " open " + open
                        + "; spoilt answers " + spoilt + ", of these open " + spoiltNow);
            }
            if (open.get() >= CLIENTS) {
                continue;
            }
            int jobClass = i % 3;
            String txn = "job-" + i;
            open.incrementAndGet();
            sent.incrementAndGet();
            Server.thread(() -> {
                try (Client client = new Client(dispatcher.port)) {
                    client.send(Client.job("/" + classes[jobClass] + "?sid=" + Integer.toHexString(txn.hashCode()), txn, "cocina-de-casa",
                            deadlines[jobClass], jobClass == 2 ? "Idempotency-Key: key-" + txn + "\r\n" : "", "hola"));
                    int status = client.receive(deadlines[jobClass] / 1000.0 + ANSWER_SLACK_S).status();
                    (status == 200 ? served : status == 503 || status == 429 ? refused : failed).incrementAndGet();
                } catch (java.io.IOException e) {
                    lost.incrementAndGet();
                    lab.say("client", "no answer to " + txn + ": " + e.getMessage());
                } finally {
                    open.decrementAndGet();
                }
            });
        }
        boolean crashed = !dispatcher.alive();
        Lab.sleep(crashed ? 0.5 : 13);
        crashed |= !dispatcher.alive();
        lab.say("end", "sent " + sent + " served " + served + " refused " + refused + " failed " + failed + " lost " + lost);
        if (crashed) {
            lab.say("check", "BROKEN: the dispatcher ended by itself, status " + dispatcher.awaitEnd(1) + ", with " + lost + " requests unanswered");
        }
        dispatcher.recordLog();
        lab.say("check", crashed || lost.get() > 0 ? "BROKEN" : "held");
        return crashed || lost.get() > 0 ? Lab.BROKEN : Lab.HELD;
    }
}
