package granitefold.real;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** The deploy file's {@code run}: a single process becomes the JVM, with its heap set by the configuration, on IPv4 only. */
public final class RunScriptIT {
    /** A fake java that prints its arguments, its process id and the page faults of child processes. */
    private static final String FAKE_JAVA = "#!/bin/sh\necho \"$@\"\nread -r pid name state ppid group session tty"
            + " foreground flags faults children rest </proc/$$/stat\necho \"$pid $children\"\n";

    /** Runs {@code run} with a configuration, checks that nothing was forked, and returns the maximum heap flag. */
    private static String maxHeapFlag(String config) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("run");
        // Only java and sh are on the path; a subshell that uses only builtins shows by its page faults.
        Files.writeString(folder.resolve("java"), FAKE_JAVA);
        Files.setPosixFilePermissions(folder.resolve("java"), PosixFilePermissions.fromString("rwx------"));
        Files.createSymbolicLink(folder.resolve("sh"), Path.of("/bin/sh"));
        Path file = folder.resolve("config.json");
        if (config != null) {
            Files.writeString(file, config);
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", RealProgram.runCommand()).redirectErrorStream(true);
        builder.environment().put("PATH", folder.toString());
        builder.environment().put("LB_CONFIG", file.toString());
        Process process = builder.start();
        List<String> output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        assertEquals(process.waitFor(), 0, output.toString());
        assertEquals(output.size(), 2, output.toString());
        assertEquals(output.get(1), process.pid() + " 0", "expected the process id and no page faults of children: " + output);
        return Stream.of(output.get(0).split(" ")).filter(w -> w.startsWith("-Xmx")).findFirst().orElse("none");
    }

    @Test
    public void heapFollowsTheMemoryLimitWithoutAFork() throws Exception {
        String limits = "{\"name\":\"n0\",\"limits\":{\"cores\":1.0,\"memory_mb\":%s,\"sockets\":384},\"known\":{}}";
        Map<String, String> heaps = Map.of("96", "32", "144", "80", "192", "88", "2048", "88", "32", "16", "\"many\"", "88",
                "-5", "88", "null", "88");
        for (Map.Entry<String, String> e : heaps.entrySet()) {
            assertEquals(maxHeapFlag(limits.formatted(e.getKey())), "-Xmx" + e.getValue() + "m", e.getKey());
        }
        assertEquals(maxHeapFlag("{\n \"limits\" : {\n  \"memory_mb\" : 128\n }\n}\n"), "-Xmx64m");
        assertEquals(maxHeapFlag("{\"limits\":{}}"), "-Xmx88m");
        assertEquals(maxHeapFlag(""), "-Xmx88m");
        assertEquals(maxHeapFlag(null), "-Xmx88m");
    }

    @Test
    public void socketsAreIPv4AndThereIsNoChildProcess() throws Exception {
        try (RealProgram.Worker worker = new RealProgram.Worker("a");
                RealProgram program = new RealProgram(Map.of("peer_listen", "\"127.0.0.1:0\"", "peers", "[\"127.0.0.1:9\"]"),
                        worker)) {
            program.awaitServing();
            Path proc = Path.of("/proc", String.valueOf(program.process.pid()));
            Set<String> processSockets;
            try (Stream<Path> fds = Files.list(proc.resolve("fd"))) {
                processSockets = fds.map(RunScriptIT::target).filter(t -> t.startsWith("socket:["))
                        .map(t -> t.substring(8, t.length() - 1)).collect(Collectors.toSet());
            }
            assertEquals(count(proc, processSockets, "tcp6", "udp6"), 0, "number of IPv6 sockets");
            assertTrue(count(proc, processSockets, "tcp") >= 2, "the listener and the discovery watch must be open");
            assertEquals(count(proc, processSockets, "udp"), 1, "number of UDP sockets, one for the siblings");
            assertFalse(program.process.children().findAny().isPresent());
        }
    }

    /** Under nohup SIGHUP is ignored, so a dispatcher would miss every move of discovery and send to drained workers. */
    @Test
    public void ignoredSighupIsReported() throws Exception {
        assertTrue(outputWithoutConfiguration("trap '' HUP; ").contains("SIGHUP was ignored"));
        assertFalse(outputWithoutConfiguration("").contains("SIGHUP was ignored"));
    }

    /** Returns the program's output when it exits because the configuration is missing. */
    private static String outputWithoutConfiguration(String shell) throws IOException, InterruptedException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", shell + RealProgram.runCommand()).redirectErrorStream(true);
        builder.environment().put("LB_CONFIG", "/missing");
        Process process = builder.start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(process.waitFor(), 2, output);
        return output;
    }

    private static String target(Path descriptor) {
        try {
            return Files.readSymbolicLink(descriptor).toString();
        } catch (IOException e) {
            return "";
        }
    }

    private static int count(Path proc, Set<String> processSockets, String... tables) throws IOException {
        int n = 0;
        for (String table : tables) {
            n += (int) Files.readAllLines(proc.resolve("net").resolve(table)).stream()
                    .map(l -> l.trim().split("\\s+")).filter(f -> f.length > 9 && processSockets.contains(f[9])).count();
        }
        return n;
    }
}
