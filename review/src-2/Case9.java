import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** A new version under load at 96 MB: both processes count as one dispatcher, which is killed over its limit of memory. */
final class Case9 {
    private static final int MEMORY_MB = 96;
    private static final int SOCKETS = 512;
    private static final int CLIENTS = 20;
    private static final long BEFORE_MS = 10_000;

    private Case9() { }

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
        for (int i = 0; i < 12; i++) {
            Kit.Worker worker = kit.new Worker("s-" + i, Kit.serveAfter(150));
            discovery.set(worker.name, worker.port, "up");
        }
        Kit.Dispatcher dispatcher = kit.new Dispatcher("n0", discovery.port);
        dispatcher.memoryMb = MEMORY_MB;
        dispatcher.sockets = SOCKETS;
        dispatcher.ops = Kit.freePort();
        dispatcher.start();
        Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
        load(kit, dispatcher.port, answers);

        Process old = dispatcher.process;
        long peak = 0;
        long endAt = Kit.ms() + BEFORE_MS + 8_000;
        long startSecondAt = Kit.ms() + BEFORE_MS;
        boolean second = false;
        boolean told = false;
        while (Kit.ms() < endAt) {
            long kb = memoryKb(old) + (second ? memoryKb(dispatcher.process) : 0);
            if (kb > peak) {
                peak = kb;
            }
            if (kb > MEMORY_MB * 1024L) {
                kit.note("over the limit: " + kb + " kB of " + MEMORY_MB * 1024L + " kB (old " + memoryKb(old) + ", new "
                        + memoryKb(dispatcher.process) + "); the platform kills the dispatcher");
                old.destroyForcibly();
                dispatcher.process.destroyForcibly();
                Kit.sleep(300);
                System.out.println("killed for memory: " + kb + " kB of " + MEMORY_MB * 1024L + " kB; answers " + new TreeMap<>(answers));
                return 1;
            }
            if (!old.isAlive() && !told || second && !dispatcher.process.isAlive()) {
                kit.note("a process has ended by itself");
                return 1;
            }
            if (trouble && !second && Kit.ms() >= startSecondAt) {
                kit.note("alone: " + peak + " kB at the most; a second run is started beside it");
                dispatcher.ops = Kit.freePort();
                dispatcher.writeConfig();
                dispatcher.process = dispatcher.launch();
                second = true;
            }
            if (second && !told && saysYes(dispatcher)) {
                kit.note("the new process says yes; SIGTERM to the old one");
                told = true;
                new ProcessBuilder("/bin/sh", "-c", "kill -TERM " + old.pid()).start().waitFor();
            }
            Kit.sleep(50);
        }
        kit.note("at the most " + peak + " kB of " + MEMORY_MB * 1024L + " kB; answers " + new TreeMap<>(answers));
        System.out.println("at the most " + peak + " kB of " + MEMORY_MB * 1024L + " kB; answers " + new TreeMap<>(answers));
        return trouble && !told ? 2 : 0;
    }

    /** Returns a process's memory with shared pages counted by their share (the most lenient count), 0 for one that has ended. */
    private static long memoryKb(Process process) throws IOException {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/smaps_rollup"))) {
                if (line.startsWith("Pss:")) {
                    return Long.parseLong(line.replaceAll("\\D", ""));
                }
            }
        } catch (IOException e) {
            if (process.isAlive() && process.pid() > 0 && Files.exists(Path.of("/proc/" + process.pid() + "/status"))
                    && !Files.isReadable(Path.of("/proc/" + process.pid() + "/smaps_rollup"))) {
                throw e;
            }
        }
        return 0;
    }

    private static boolean saysYes(Kit.Dispatcher dispatcher) {
        try (Kit.Client call = new Kit.Client(dispatcher.ops)) {
            call.send(Kit.ascii("check\n"));
            call.socket.setSoTimeout(1_000);
            return new String(call.in.readAllBytes()).startsWith("ACK");
        } catch (IOException e) {
            return false;
        }
    }

    /** About 90 jobs a second, bodies of up to 20 KB, on connections that are kept for 20 jobs. */
    private static void load(Kit kit, int port, Map<String, AtomicInteger> answers) {
        AtomicInteger number = new AtomicInteger();
        for (int i = 0; i < CLIENTS; i++) {
            Kit.thread(() -> {
                while (true) {
                    try (Kit.Client client = new Kit.Client(port)) {
                        for (int job = 0; job < 20; job++) {
                            byte[] body = new byte[ThreadLocalRandom.current().nextInt(20_000)];
                            String id = "m" + number.incrementAndGet();
                            client.send(Kit.job("ficha", id, 5_000, "X-Estimate: 150000\r\n", body));
                            kit.note("client sent " + id + ", " + body.length + " bytes");
                            Kit.Answer answer = client.read(5_550);
                            kit.note("answer to " + id + ": " + (answer == null ? "closed" : answer.status()));
                            count(answers, answer == null ? "closed" : Integer.toString(answer.status()));
                            if (answer == null || "close".equals(answer.headers().get("connection"))) {
                                break;
                            }
                            Kit.sleep(70);
                        }
                    } catch (IOException e) {
                        count(answers, "broken");
                        Kit.sleep(50);
                    }
                }
            });
        }
    }

    private static void count(Map<String, AtomicInteger> answers, String what) {
        answers.computeIfAbsent(what, key -> new AtomicInteger()).incrementAndGet();
    }
}
