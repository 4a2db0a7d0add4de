package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One play of a case: its record, its folder, its processes, and the end of all of them. */
public final class Lab implements AutoCloseable {
    static final int HELD = 0, BROKEN = 1, COULD_NOT_RUN = 2;

    /** A play that takes longer is ended as one that could not run: a script may take 120 s, with the start of its JVM and the end of its processes. */
    private static final double LONGEST_S = 100;

    private volatile boolean late;
    private final long startNs = System.nanoTime();
    private final PrintWriter record;
    private final List<Dispatcher> dispatchers = new ArrayList<>();
    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    Lab(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile), false);
        folder = Files.createTempDirectory("review-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** A case: returns what it saw as HELD, BROKEN or COULD_NOT_RUN. */
    interface Play {
        int run(Lab lab) throws Exception;
    }

    static void main(String[] args, Play play) {
        int status = COULD_NOT_RUN;
        try (Lab lab = new Lab(Path.of(args[0]))) {
            lab.say("play", "trouble=" + (lab.trouble ? 1 : 0));
            Server.thread(() -> {
                sleep(LONGEST_S);
                lab.late = true;
                lab.say("could not run", "not over after " + LONGEST_S + " s");
                lab.close();
                Runtime.getRuntime().halt(COULD_NOT_RUN);
            });
            try {
                status = play.run(lab);
            } catch (Exception | AssertionError e) {
                lab.say("could not run", e.toString());
                e.printStackTrace();
            }
            // what a play sees after its processes were ended says nothing
            status = lab.late ? COULD_NOT_RUN : status;
            lab.say("exit status", status);
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.out.println(status == HELD ? "held" : status == BROKEN ? "broken" : "could not run");
        Runtime.getRuntime().exit(status);
    }

    /** Seconds since the start of the play. */
    double now() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    /** Writes one line of the record. */
    void say(String who, Object what) {
        String line = String.format("%9.4f %s: %s", now(), who, what);
        synchronized (record) {
            record.println(line);
            record.flush();
        }
    }

    void sleepUntil(double second) throws InterruptedException {
        long ns = (long) (second * 1e9) - (System.nanoTime() - startNs);
        if (ns > 0) {
            TimeUnit.NANOSECONDS.sleep(ns);
        }
    }

    static void sleep(double seconds) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep((long) (seconds * 1e9));
    }

    /** A port that is free now, on the loopback address. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    Dispatcher dispatcher(Map<String, Object> config) throws IOException {
        Dispatcher dispatcher = new Dispatcher(this, config);
        dispatchers.add(dispatcher);
        return dispatcher;
    }

    private void killAll() {
        dispatchers.forEach(Dispatcher::kill);
    }

    @Override
    public void close() {
        killAll();
        record.flush();
        try (var files = Files.walk(folder)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            // a temporary folder
        }
    }

    /** A map in the order given, for JSON. */
    static Map<String, Object> map(Object... keysAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) {
            map.put((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        return map;
    }

    static String json(Object value) {
        if (value instanceof Map<?, ?> m) {
            StringBuilder text = new StringBuilder("{");
            m.forEach((k, v) -> text.append(text.length() > 1 ? "," : "").append(json(k)).append(':').append(json(v)));
            return text.append('}').toString();
        }
        if (value instanceof List<?> l) {
            StringBuilder text = new StringBuilder("[");
            l.forEach(v -> text.append(text.length() > 1 ? "," : "").append(json(v)));
            return text.append(']').toString();
        }
        return value instanceof String s ? '"' + s.replace("\\", "\\\\").replace("\"", "\\\"") + '"' : String.valueOf(value);
    }
}
