package granitefold;

import granitefold.net.EventLoop;
import granitefold.net.checks.OpsEndpoint;
import granitefold.wire.Config;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;

/**
 * The training run for the class data sharing (CDS) archive: loads the program's classes, serves one request on loopback, and exits.
 * The build runs it once, and the JVM writes the loaded classes to the archive that {@code serve} starts from. Without the archive,
 * loading them takes most of the start.
 */
final class CdsTrainingRun {
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String REQUEST = "POST /job?sid=1 HTTP/1.1\r\nHost: x\r\nX-Txn: 1\r\nX-Remaining-Ms: 900\r\n"
            + "X-Estimate: 1000\r\nX-Labels: slots=1\r\nContent-Length: 4\r\nConnection: close\r\n\r\nsoup";

    /** Classes that are only needed with an operator's file or for other commands: in the archive they would slow every start down. */
    private static final String ELSEWHERE = "granitefold\\.(rollout\\.|cli\\.(rollout|Commands|ControlClient|JsonLines|StateCommand)|operator\\.(OperatorFile|HoconFile"
            + "|ConfigSection)|net\\.checks\\.(CheckEndpoints|HttpCheck|Agent|Control)|state\\.|recovery\\.LearnedStateAging|shaded\\.jackson\\.(databind|annotation|dataformat)).*";

    private CdsTrainingRun() { }

    static void run() throws Exception {
        loadClasses();
        ServerSocket worker = startServer("{\"id\":\"1\",\"state\":\"started\"}",
                "{\"id\":\"1\",\"state\":\"done\",\"result\":\"made\"}");
        String list = "{\"index\":0,\"snapshot\":true,\"endpoints\":[{\"name\":\"p\",\"address\":\"127.0.0.1:"
                + worker.getLocalPort() + "\",\"status\":\"up\"}]}";
        ServerSocket discovery = startServer(list);
        Path file = Files.createTempFile("rehearsal", ".json");
        Files.writeString(file, "{\"listen\":\"127.0.0.1:0\",\"ops\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" + discovery.getLocalPort()
                + "\",\"known\":" + list + ",\"settings\":{\"limits\":{\"attemptsCap\":1,\"connectTimeoutMs\":900},"
                + "\"classes\":[{\"name\":\"job\",\"effect\":\"retryable\",\"onTimeMs\":900,\"deadlineMs\":900}]}}");
        Config config = Config.read(file);
        EventLoop loop = new EventLoop(config);
        InetSocketAddress ops = new OpsEndpoint(config.ops(), loop, config.namedSettings().classNames()).start();
        Files.delete(file);
        loop.start();
        try (Socket client = new Socket()) {
            client.connect(loop.address());
            client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            client.getInputStream().readAllBytes();
        }
        for (String command : new String[] {"check\n", "vars\n"}) {
            try (Socket caller = new Socket()) {
                caller.connect(ops);
                caller.getOutputStream().write(command.getBytes(StandardCharsets.US_ASCII));
                caller.getInputStream().readAllBytes();
            }
        }
        // exits without a graceful shutdown, which would halt the JVM before it writes the archive
        System.exit(0);
    }

    /** Starts a server that sends these lines to one client in response to any request. */
    private static ServerSocket startServer(String... lines) throws IOException {
        ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        StringBuilder response = new StringBuilder(CHUNKED);
        for (String line : lines) {
            response.append(Integer.toHexString(line.length() + 1)).append("\r\n").append(line).append("\n\r\n");
        }
        Thread thread = new Thread(() -> {
            try (Socket client = server.accept(); InputStream in = client.getInputStream()) {
                if (in.read() >= 0) {
                    client.getOutputStream().write(response.append("0\r\n\r\n").toString()
                            .getBytes(StandardCharsets.US_ASCII));
                    in.transferTo(OutputStream.nullOutputStream());
                }
            } catch (IOException e) {
                // the training run is over
            }
        });
        thread.setDaemon(true);
        thread.start();
        return server;
    }

    private static void loadClasses() throws IOException {
        Path jar = Path.of(System.getProperty("java.class.path"));
        try (JarFile file = new JarFile(jar.toFile())) {
            for (JarEntry entry : Collections.list(file.entries())) {
                String name = entry.getName().replace('/', '.');
                if (name.startsWith("granitefold.") && name.endsWith(".class") && !name.matches(ELSEWHERE)
                        || name.matches("org\\.eclipse\\.jetty\\.(io|http|util)\\.([a-z]+\\.)?[A-Z].*\\.class")) {
                    try {
                        Class.forName(name.substring(0, name.length() - ".class".length()), true,
                                Main.class.getClassLoader());
                    } catch (ReflectiveOperationException | LinkageError e) {
                        // the class needs a library that is not on the class path
                    }
                }
            }
        }
    }
}
