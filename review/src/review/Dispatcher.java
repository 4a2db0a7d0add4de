package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A real dispatcher: the process that the deploy file's `run` starts. */
final class Dispatcher {
    /** The `run` line of deploy/balancer.toml. */
    private static final String RUN = "exec sh deploy/serve.sh";

    private final Lab lab;
    final String name;
    final int port;
    private final Process process;
    final Path log;

    Dispatcher(Lab lab, Map<String, Object> config) throws IOException {
        this.lab = lab;
        name = (String) config.get("name");
        String listen = (String) config.get("listen");
        port = Integer.parseInt(listen.substring(listen.indexOf(':') + 1));
        Path file = lab.folder.resolve(name + ".json");
        Files.writeString(file, Lab.json(config));
        Path temporary = Files.createDirectory(lab.folder.resolve(name + "-tmp"));
        log = lab.folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", RUN).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().putAll(Map.of("LB_NAME", name, "LB_LISTEN", listen, "LB_DISCOVERY", (String) config.get("discovery"),
                "LB_CONFIG", file.toString(), "TMPDIR", temporary.toString()));
        process = builder.start();
        lab.say(name, "started, process " + process.pid());
    }

    /** Waits until it is ready, as the front does: `GET /healthz` answers 200. */
    void awaitReady() throws Exception {
        for (double end = lab.now() + 20; lab.now() < end && process.isAlive(); Lab.sleep(0.02)) {
            try (Client client = new Client(port)) {
                client.send("GET /healthz HTTP/1.1\r\nHost: d\r\n\r\n");
                if (client.receive(1).status() == 200) {
                    lab.say(name, "ready");
                    return;
                }
            } catch (IOException e) {
                // not up yet
            }
        }
        throw new IllegalStateException(name + " was not ready: " + Files.readString(log));
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        lab.say(name, "SIG" + signal);
    }

    /** Waits until its log holds this text. */
    void awaitLog(String text) throws IOException, InterruptedException {
        for (double end = lab.now() + 2; lab.now() < end; Lab.sleep(0.001)) {
            if (Files.readString(log).contains(text)) {
                return;
            }
        }
        throw new IllegalStateException(name + " did not log: " + text);
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Exit status, or -1 if it does not end within this time. */
    int awaitEnd(double seconds) throws InterruptedException {
        return process.waitFor((long) (seconds * 1000), TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    void kill() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Puts its log into the record. */
    void recordLog() throws IOException {
        for (String line : Files.readAllLines(log)) {
            lab.say(name + " log", line);
        }
    }
}
