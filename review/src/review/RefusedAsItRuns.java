package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Four dispatchers; cocineros of two kinds, one of which runs the purchases. In a release the cocineros of that kind are replaced, the new ones
 * start cold, and a dispatcher that holds purchases for them is restarted as planned (SIGTERM). It is held up for less than 0.15 s.
 */
final class RefusedAsItRuns {
    private static final int DISPATCHERS = 4, TILE_COCINEROS = 10, BUYING_COCINEROS = 2, ORDERS = 48;
    private static final double ORDERS_PER_S = 40;
    /** When SIGTERM comes, in seconds from the first purchase that a cocinero has begun. */
    private static final double TERM_AT = 1.27;
    /** When the dispatcher is held up, in seconds from the shutdown's begin. It answers what is open 3.3 s after that. */
    private static final double HELD_UP_FROM = 3.2, HELD_UP_UNTIL = 3.325;
    private static final double MAX_HELD_UP = 0.15;
    /** What a purchase takes, and what its client says that it takes. */
    private static final double ORDER_S = 1.5;
    private static final String ORDER_ESTIMATE = "X-Estimate: 1500000\r\n", TILE_ESTIMATE = "X-Estimate: 500000\r\n";

    private final Lab lab;
    private final Discovery discovery = new Discovery();
    private volatile double firstBegun = Double.MAX_VALUE;
    /** By order: the attempts that a cocinero has begun. */
    private final Map<String, List<String>> begun = new ConcurrentHashMap<>();

    private RefusedAsItRuns(Lab lab) throws IOException {
        this.lab = lab;
    }

    public static void main(String[] args) {
        Lab.main(args, lab -> new RefusedAsItRuns(lab).play());
    }

    /** A cocinero with enough slots: it begins each job as it comes, and goes on with it to its end. */
    private Server cocinero(String name) throws IOException {
        return new Server((request, connection) -> {
            String txn = request.head("X-Txn");
            String line = "{\"id\":\"" + txn + "\",\"from\":\"" + name + "\",\"state\":\"";
            String order = request.body();
            if (!order.startsWith("order-")) {
                connection.startChunks();
                connection.chunk(line + "started\"}\n");
                Lab.sleep(0.35);
                connection.chunk(line + "done\",\"result\":\"tile\"}\n");
                connection.endChunks();
                return;
            }
            firstBegun = Math.min(firstBegun, lab.now());
            begun.computeIfAbsent(order, o -> new ArrayList<>()).add(name + " for " + txn);
            lab.say(name, "began " + order + ", id " + txn + ", X-Remaining-Ms " + request.head("X-Remaining-Ms"));
            Server.thread(() -> {
                Lab.sleep(ORDER_S);
                lab.say(name, "completed " + order + ", id " + txn + " (the customer is billed)");
            });
            connection.startChunks();
            connection.chunk(line + "started\"}\n");
            Lab.sleep(ORDER_S);
            connection.chunk(line + "done\",\"result\":\"scene\"}\n");
            connection.endChunks();
        });
    }

    private void list(String name, Server server, String type, String status, long sinceMs) {
        discovery.list(Discovery.entry(name, server.address, "lima-surco", type, status, sinceMs));
        lab.say("discovery", name + " " + type + " " + status + (sinceMs == 0 ? "" : ", since now"));
    }

    private int play() throws Exception {
        for (int i = 0; i < TILE_COCINEROS; i++) {
            list("s-tile" + i, cocinero("s-tile" + i), "small-fast", "up", 0);
        }
        Map<String, Server> old = new HashMap<>();
        for (int i = 0; i < BUYING_COCINEROS; i++) {
            old.put("s-old" + i, cocinero("s-old" + i));
            list("s-old" + i, old.get("s-old" + i), "medium", "up", 0);
        }
        Dispatcher[] dispatchers = new Dispatcher[DISPATCHERS];
        for (int i = 0; i < DISPATCHERS; i++) {
            Map<String, Object> settings = Sites.with(Sites.lima(i, DISPATCHERS), "familyInfo", "classKind", List.of(-1, -1, -1, 1));
            dispatchers[i] = lab.dispatcher(Sites.config("n" + i, Lab.freePort(), discovery.address, 192, 1024, discovery.known(), settings));
        }
        for (Dispatcher dispatcher : dispatchers) {
            dispatcher.awaitReady();
        }
        tiles(dispatchers[0]);

        // a release replaces the cocineros of one kind
        for (int i = 0; i < BUYING_COCINEROS; i++) {
            list("s-new" + i, cocinero("s-new" + i), "medium", "up", System.currentTimeMillis());
            list("s-old" + i, old.get("s-old" + i), "medium", "draining", 0);
        }
        Lab.sleep(0.3);
        Map<String, Client> clients = new TreeMap<>();
        double begin = lab.now();
        for (int i = 0; i < ORDERS; i++) {
            lab.sleepUntil(begin + i / ORDERS_PER_S);
            String order = String.format("order-%02d", i);
            Client client = new Client(dispatchers[0].port);
            clients.put(order, client);
            client.send(Client.job("/scene-buy", "buy-" + i, "agro-costa", 10000, ORDER_ESTIMATE, order));
        }

        // the planned restart
        lab.sleepUntil(firstBegun + TERM_AT);
        dispatchers[0].signal("TERM");
        dispatchers[0].awaitLog("phase: DRAINING");
        double term = lab.now();
        if (lab.trouble) {
            lab.sleepUntil(term + HELD_UP_FROM);
            double from = lab.now();
            dispatchers[0].signal("STOP");
            lab.sleepUntil(term + HELD_UP_UNTIL);
            dispatchers[0].signal("CONT");
            double heldUp = lab.now() - from;
            lab.say("n0", String.format("was held up for %.3f s at most", heldUp));
            if (heldUp > MAX_HELD_UP) {
                lab.say("could not run", "held up for longer than the pages allow");
                return Lab.COULD_NOT_RUN;
            }
        }
        List<String> refused = new ArrayList<>(), wrong = new ArrayList<>();
        clients.forEach((order, client) -> {
            try (client) {
                Client.Answer answer = client.receive(2);
                lab.say("client", "answer of n0 to " + order + ": " + answer.status() + " " + answer.body().strip());
                if (answer.status() == 503 || answer.status() == 429) {
                    refused.add(order);
                    if (begun.containsKey(order)) {
                        wrong.add(order);
                    }
                }
            } catch (IOException e) {
                lab.say("client", "no answer of n0 to " + order + ": " + e.getMessage());
            }
        });
        // a refusal says that trying again is harmless: clients do so by themselves
        List<Thread> retries = new ArrayList<>();
        for (String order : refused) {
            retries.add(Server.thread(() -> {
                try (Client retry = new Client(dispatchers[1].port)) {
                    retry.send(Client.job("/scene-buy", "again-" + order, "agro-costa", 10000, ORDER_ESTIMATE, order));
                    lab.say("client", "answer of n1 to the retry of " + order + ": " + retry.receive(11).status());
                }
            }));
        }
        for (Thread retry : retries) {
            retry.join();
        }
        lab.say("n0", "ended with status " + dispatchers[0].awaitEnd(3));
        dispatchers[0].recordLog();
        int twice = 0;
        for (Map.Entry<String, List<String>> job : begun.entrySet()) {
            if (job.getValue().size() > 1) {
                twice++;
                lab.say("check", job.getKey() + " ran twice: " + job.getValue());
            }
        }
        wrong.forEach(order -> lab.say("check", order + " was refused by n0 although it had begun: " + begun.get(order)));
        boolean broken = twice > 0 || !wrong.isEmpty();
        lab.say("check", broken ? "BROKEN: " + wrong.size() + " jobs of an unsafe class refused as they ran, " + twice + " ran twice" : "held");
        return broken ? Lab.BROKEN : Lab.HELD;
    }

    /** The usual traffic before. */
    private static void tiles(Dispatcher dispatcher) throws Exception {
        for (int round = 0; round < 6; round++) {
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                String txn = "tile-" + round + "-" + i;
                clients.add(Server.thread(() -> {
                    try (Client client = new Client(dispatcher.port)) {
                        client.send(Client.job("/tile-render", txn, "agro-costa", 15000, TILE_ESTIMATE, "tile"));
                        client.receive(6);
                    }
                }));
            }
            for (Thread client : clients) {
                client.join();
            }
            Lab.sleep(0.06);
        }
    }
}
