import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;

/** A client that stops in the middle of a request that came right behind a whole one, and stays. */
final class Case8 {
    private static final long OWED_MS = 3_050;

    private Case8() { }

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
        Kit.Discovery discovery = kit.new Discovery();
        for (int i = 0; i < 6; i++) {
            Kit.Worker worker = kit.new Worker("s-" + i, Kit.serveAfter(150));
            discovery.set(worker.name, worker.port, "up");
        }
        Kit.Dispatcher dispatcher = kit.new Dispatcher("n0", discovery.port);
        dispatcher.start();

        byte[] whole = Kit.job("ficha", "h1", 5_000, "X-Estimate: 150000\r\n", new byte[200]);
        byte[] second = Kit.job("ficha", "h2", 5_000, "X-Estimate: 150000\r\n", new byte[200]);
        ByteArrayOutputStream both = new ByteArrayOutputStream();
        both.writeBytes(whole);
        both.writeBytes(trouble ? Arrays.copyOf(second, second.length / 2) : second);
        try (Kit.Client client = new Kit.Client(dispatcher.port)) {
            client.send(both.toByteArray());
            kit.note("client sent h1 and " + (trouble ? "half of " : "") + "h2, and stays");
            Kit.Answer first = client.read(5_550);
            long answeredAt = Kit.ms();
            kit.note("answer to h1: " + (first == null ? "closed" : first.status()));
            if (first == null) {
                System.out.println("the connection was closed before the first answer");
                return 2;
            }
            // counted from the first answer, which is later than the connect: the most lenient reading
            try {
                Kit.Answer next = client.read(30_000);
                long took = Kit.ms() - answeredAt;
                kit.note("then, after " + took + " ms: " + (next == null ? "closed by the dispatcher" : next.status()));
                System.out.println("error, answer or close " + took + " ms after the first answer");
                return took <= OWED_MS || !trouble ? 0 : 1;
            } catch (IOException e) {
                long took = Kit.ms() - answeredAt;
                kit.note("then, after " + took + " ms: " + e);
                System.out.println((Kit.timedOut(e) ? "neither error nor close" : e.toString()) + ", " + took + " ms after the first answer");
                return took <= OWED_MS && !Kit.timedOut(e) ? 0 : 1;
            }
        }
    }
}
