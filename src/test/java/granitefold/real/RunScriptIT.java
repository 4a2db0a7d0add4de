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

/** The deploy file's {@code run}: one process from the shell to the JVM, its heap by the configuration, IPv4 alone. */
public final class RunScriptIT {
    /** Takes the JVM's place: its arguments, its process id, and the page faults of children it waited for. */
    private static final String STAND_IN = "#!/bin/sh\necho \"$@\"\nread -r pid name state ppid group session tty"
            + " foreground flags faults children rest </proc/$$/stat\necho \"$pid $children\"\n";

    /** What {@code run} does with a configuration: the heap, after the checks that nothing was forked. */
    private static String heap(String config) throws IOException, InterruptedException {
        Path dir = Files.createTempDirectory("run");
        // nothing but these two is on the path; a subshell of builtins alone shows by its faults
        Files.writeString(dir.resolve("java"), STAND_IN);
        Files.setPosixFilePermissions(dir.resolve("java"), PosixFilePermissions.fromString("rwx------"));
        Files.createSymbolicLink(dir.resolve("sh"), Path.of("/bin/sh"));
        Path file = dir.resolve("config.json");
        if (config != null) {
            Files.writeString(file, config);
        }
        ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", RealProgram.runCommand()).redirectErrorStream(true);
        b.environment().put("PATH", dir.toString());
        b.environment().put("LB_CONFIG", file.toString());
        Process p = b.start();
        List<String> said = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        assertEquals(p.waitFor(), 0, said.toString());
        assertEquals(said.size(), 2, said.toString());
        assertEquals(said.get(1), p.pid() + " 0", "process, and faults of its children: " + said);
        return Stream.of(said.get(0).split(" ")).filter(w -> w.startsWith("-Xmx")).findFirst().orElse("none");
    }

    @Test
    public void theHeapFollowsTheMemoryWithoutAFork() throws Exception {
        String limits = "{\"name\":\"n0\",\"limits\":{\"cores\":1.0,\"memory_mb\":%s,\"sockets\":384},\"known\":{}}";
        Map<String, String> heaps = Map.of("96", "32", "144", "80", "192", "88", "2048", "88", "32", "16", "\"many\"", "88",
                "-5", "88", "null", "88");
        for (Map.Entry<String, String> e : heaps.entrySet()) {
            assertEquals(heap(limits.formatted(e.getKey())), "-Xmx" + e.getValue() + "m", e.getKey());
        }
        assertEquals(heap("{\n \"limits\" : {\n  \"memory_mb\" : 128\n }\n}\n"), "-Xmx64m");
        assertEquals(heap("{\"limits\":{}}"), "-Xmx88m");
        assertEquals(heap(""), "-Xmx88m");
        assertEquals(heap(null), "-Xmx88m");
    }

    @Test
    public void itsSocketsAreIPv4AndItHasNoChild() throws Exception {
        try (RealProgram.Worker worker = new RealProgram.Worker("a");
                RealProgram program = new RealProgram(Map.of("peer_listen", "\"127.0.0.1:0\"", "peers", "[\"127.0.0.1:9\"]"),
                        worker)) {
            program.awaitServing();
            Path proc = Path.of("/proc", String.valueOf(program.process.pid()));
            Set<String> own;
            try (Stream<Path> fds = Files.list(proc.resolve("fd"))) {
                own = fds.map(RunScriptIT::target).filter(t -> t.startsWith("socket:["))
                        .map(t -> t.substring(8, t.length() - 1)).collect(Collectors.toSet());
            }
            assertEquals(count(proc, own, "tcp6", "udp6"), 0, "sockets of IPv6");
            assertTrue(count(proc, own, "tcp") >= 2, "the listener and the watch");
            assertEquals(count(proc, own, "udp"), 1, "the siblings'");
            assertFalse(program.process.children().findAny().isPresent());
        }
    }

    /** A fleet test started under nohup lost every move of discovery without a word, and went on sending to drained workers. */
    @Test
    public void whoCannotBeToldToReadAnewSaysSo() throws Exception {
        assertTrue(saidBefore("trap '' HUP; ").contains("SIGHUP was ignored"));
        assertFalse(saidBefore("").contains("SIGHUP was ignored"));
    }

    /** What the program says before it ends on a configuration that is missing. */
    private static String saidBefore(String shell) throws IOException, InterruptedException {
        ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", shell + RealProgram.runCommand()).redirectErrorStream(true);
        b.environment().put("LB_CONFIG", "/missing");
        Process p = b.start();
        String said = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(p.waitFor(), 2, said);
        return said;
    }

    private static String target(Path fd) {
        try {
            return Files.readSymbolicLink(fd).toString();
        } catch (IOException e) {
            return "";
        }
    }

    private static int count(Path proc, Set<String> own, String... tables) throws IOException {
        int n = 0;
        for (String table : tables) {
            n += (int) Files.readAllLines(proc.resolve("net").resolve(table)).stream()
                    .map(l -> l.trim().split("\\s+")).filter(f -> f.length > 9 && own.contains(f[9])).count();
        }
        return n;
    }
}
