import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Many commands at once on one connection: the ones that are running must still be answered. */
final class Case7 {
    private static final int COMMANDS = 12;
    private static final int BODY_BYTES = 16 * 1024;
    private static final long REMAINING_MS = 5_000;

    private Case7() { }

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
        Set<String> forwarded = ConcurrentHashMap.newKeySet();
        Kit.Discovery discovery = kit.new Discovery();
        for (int i = 0; i < 6; i++) {
            Kit.Worker worker = kit.new Worker("s-" + i, (self, request, socket, out) -> {
                forwarded.add(request.id());
                return Kit.serveAfter(300).run(self, request, socket, out);
            });
            discovery.set(worker.name, worker.port, "up");
        }
        Kit.Dispatcher dispatcher = kit.new Dispatcher("n0", discovery.port);
        dispatcher.start();

        Map<String, String> answers = new ConcurrentHashMap<>();
        String end = "open";
        try (Kit.Client client = new Kit.Client(dispatcher.port)) {
            if (trouble) {
                // the first command; the others at once while it runs
                client.send(command(0));
                kit.note("client sent c0");
                long until = Kit.ms() + 3_000;
                while (!forwarded.contains("c0") && Kit.ms() < until) {
                    Kit.sleep(1);
                }
                if (!forwarded.contains("c0")) {
                    System.out.println("the first command did not reach a cocinero");
                    return 2;
                }
                ByteArrayOutputStream batch = new ByteArrayOutputStream();
                for (int i = 1; i < COMMANDS; i++) {
                    batch.writeBytes(command(i));
                }
                Kit.thread(() -> {
                    try {
                        client.send(batch.toByteArray());
                        kit.note("client sent c1 to c" + (COMMANDS - 1) + ", " + batch.size() + " bytes, and stays");
                    } catch (IOException e) {
                        kit.note("client could not send all: " + e);
                    }
                });
                end = readAnswers(kit, client, 0, COMMANDS, answers);
            } else {
                for (int i = 0; i < COMMANDS && end.equals("open"); i++) {
                    client.send(command(i));
                    kit.note("client sent c" + i);
                    end = readAnswers(kit, client, i, i + 1, answers);
                }
            }
        }
        int lost = 0;
        for (String id : forwarded) {
            if (!answers.containsKey(id)) {
                lost++;
                kit.note("LOST " + id + ": read and forwarded, and never answered; the connection: " + end);
            }
        }
        if (!dispatcher.process.isAlive()) {
            kit.note("the dispatcher has ended");
            return 1;
        }
        System.out.println("forwarded " + forwarded.size() + ", answered " + answers.size() + ", lost " + lost + ", connection: " + end);
        return lost > 0 ? 1 : 0;
    }

    private static byte[] command(int i) {
        return Kit.job("ficha", "c" + i, REMAINING_MS, "X-Estimate: 300000\r\n", new byte[BODY_BYTES]);
    }

    /** Reads the answers in order, as long as one may still come; returns what became of the connection. */
    private static String readAnswers(Kit kit, Kit.Client client, int from, int to, Map<String, String> answers) {
        for (int i = from; i < to; i++) {
            try {
                Kit.Answer answer = client.read((int) REMAINING_MS + 550);
                kit.note("answer to c" + i + ": " + (answer == null ? "the dispatcher closed the connection" : answer.status() + " " + answer.text()));
                if (answer == null) {
                    return "closed by the dispatcher";
                }
                answers.put("c" + i, Integer.toString(answer.status()));
            } catch (IOException e) {
                kit.note("answer to c" + i + ": " + e);
                return e.toString();
            }
        }
        return "open";
    }
}
