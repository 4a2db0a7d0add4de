import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;

/** A new version under load, and a bad client with the id of a purchase that is still open in the old process. */
final class Case6 {
    private static final String PURCHASE = "5c0f6e1a2b3d4c59";
    private static final long WORK_MS = 2_500;
    private static final long REMAINING_MS = 10_000;

    private Case6() { }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Kit kit = new Kit(args[0])) {
            status = run(kit, trouble);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static int run(Kit kit, boolean trouble) throws Exception {
        // when a cocinero had the purchase whole, and ran it
        List<Long> runs = new CopyOnWriteArrayList<>();
        Kit.Discovery discovery = kit.new Discovery();
        for (int i = 0; i < 6; i++) {
            Kit.Worker worker = kit.new Worker("s-" + i, (self, request, socket, out) -> {
                boolean purchase = request.id().equals(PURCHASE);
                if (purchase) {
                    runs.add(Kit.ms());
                    kit.note("RUN " + runs.size() + " of " + request.id() + " at " + self.name);
                }
                return Kit.serveAfter(purchase ? WORK_MS : 100).run(self, request, socket, out);
            });
            discovery.set(worker.name, worker.port, "up");
        }
        Kit.Dispatcher dispatcher = kit.new Dispatcher("n0", discovery.port);
        // the settings of the second deployment name a class that must never run twice
        dispatcher.settings = Kit.settings(Kit.CLASSES + ",{\"deadlineMs\":10000.0,\"dedupWindowMs\":0.0,\"effect\":\"fragile\",\"group\":\"all\","
                + "\"lateWorth\":0.0,\"name\":\"scene-buy\",\"onTimeMs\":4000.0,\"points\":8.0,\"streaming\":false}", "");
        dispatcher.ops = Kit.freePort();
        dispatcher.start();
        // the buyer's connection is one that the first process has accepted, with a usual job on it before
        Kit.Client buyerConnection = new Kit.Client(dispatcher.port);
        buyerConnection.send(Kit.job("ficha", "usual", 5_000, "X-Estimate: 100000\r\n", new byte[100]));
        Kit.Answer usual = buyerConnection.read(6_000);
        kit.note("the buyer's usual job: " + (usual == null ? "closed" : usual.status()));
        if (usual == null) {
            return 2;
        }
        Process old = dispatcher.process;
        if (trouble) {
            dispatcher.ops = Kit.freePort();
            dispatcher.writeConfig();
            dispatcher.process = dispatcher.launch();
            kit.note("a second run has been started beside the first");
        }
        if (trouble && !awaitYes(kit, dispatcher)) {
            System.out.println("the new process said no yes within 6 s");
            return 2;
        }

        AtomicReference<String> answer = new AtomicReference<>("none");
        Thread buyer = purchase(kit, buyerConnection, answer, runs);
        if (buyer == null) {
            System.out.println("the purchase did not reach a cocinero");
            return 2;
        }
        if (trouble) {
            kit.note("SIGTERM to the old process");
            new ProcessBuilder("/bin/sh", "-c", "kill -TERM " + old.pid()).start().waitFor();
            Kit.sleep(400);
        }
        // the bad client: the id of another client's open request, 0.4 s after SIGTERM, on a connection of its own
        String badAnswer = bad(kit, dispatcher);
        buyer.join(REMAINING_MS + 1_000);
        kit.note("the buyer's answer: " + answer.get() + "; the bad client's: " + badAnswer + "; runs of the purchase: " + runs.size());
        System.out.println("purchase run " + runs.size() + " times; buyer: " + answer.get() + ", bad client: " + badAnswer);
        if (!dispatcher.process.isAlive()) {
            return 1;
        }
        return runs.size() > 1 || badAnswer.startsWith("200") ? 1 : 0;
    }

    private static boolean awaitYes(Kit kit, Kit.Dispatcher dispatcher) {
        long until = Kit.ms() + 6_000;
        while (Kit.ms() < until) {
            try (Kit.Client call = new Kit.Client(dispatcher.ops)) {
                call.send(Kit.ascii("check\n"));
                call.socket.setSoTimeout(1_000);
                String answer = new String(call.in.readAllBytes());
                if (answer.startsWith("ACK")) {
                    kit.note("the new process says yes");
                    return true;
                }
            } catch (IOException e) {
                // not listening yet
            }
            Kit.sleep(20);
        }
        return false;
    }

    /** Sends the purchase and returns once a cocinero runs it, with the thread that reads its answer; null if none does. */
    private static Thread purchase(Kit kit, Kit.Client client, AtomicReference<String> answer, List<Long> runs) throws IOException {
        client.send(purchase());
        kit.note("the buyer sent " + PURCHASE);
        Thread reader = Kit.thread(() -> {
            try (client) {
                Kit.Answer read = client.read((int) REMAINING_MS + 550);
                answer.set(read == null ? "closed" : read.status() + " " + read.text());
            } catch (IOException e) {
                answer.set(e.toString());
            }
            kit.note("the buyer got " + answer.get());
        });
        long until = Kit.ms() + 2_000;
        while (runs.isEmpty() && Kit.ms() < until) {
            Kit.sleep(1);
        }
        return runs.isEmpty() ? null : reader;
    }

    private static byte[] purchase() {
        return Kit.job("scene-buy", PURCHASE, REMAINING_MS, "X-Estimate: 2500000\r\n", Kit.ascii("scene=41"));
    }

    private static String bad(Kit kit, Kit.Dispatcher dispatcher) {
        try (Kit.Client client = new Kit.Client(dispatcher.port)) {
            client.send(purchase());
            kit.note("the bad client sent the id of the open purchase");
            Kit.Answer answer = client.read((int) REMAINING_MS + 550);
            kit.note("the bad client got " + (answer == null ? "a close" : answer.status() + " " + answer.text()));
            return answer == null ? "close" : answer.status() + " " + answer.text();
        } catch (IOException e) {
            kit.note("the bad client got " + e);
            return e.toString();
        }
    }
}
