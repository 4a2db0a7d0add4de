package granitefold.real;

import static granitefold.real.RealProgram.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import granitefold.real.RealProgram.Worker;
import granitefold.state.DirectoryStorage;
import granitefold.state.StateFile;
import granitefold.state.StateStore;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Restarts of the built program with a persistent state folder. */
public class StateIT {
    private static final String TIME = "X-Remaining-Ms: 20000\r\nX-Estimate: 100000\r\n";
    /** Without siblings, clients are still served for longer than this after SIGTERM. */
    private static final long SHUTDOWN_MIN_US = 2_000_000;
    private final Map<String, String> fields = new HashMap<>();
    private Path stateFolder;
    private Worker workerA;
    private RealProgram program;

    @BeforeMethod
    public void setUp() throws IOException {
        stateFolder = Files.createTempDirectory("state");
        workerA = new Worker("s-a");
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
        program.close();
        program.process.waitFor();
        workerA.close();
        deleteRecursively(stateFolder);
    }

    private static void deleteRecursively(Path stateFolder) throws IOException {
        if (Files.exists(stateFolder)) {
            for (Path p : Files.walk(stateFolder).sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }

    private RealProgram start() throws Exception {
        program = new RealProgram("state.dir = \"" + stateFolder + "\"\nstate.every = 100ms\n", fields, workerA);
        program.awaitServing();
        return program;
    }

    /** Waits until the state file meets a condition. */
    private StateFile.Content awaitStateFile(Predicate<StateFile.Content> condition) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(RealProgram.TIMEOUT_S);
        while (true) {
            byte[] file = DirectoryStorage.readOnly(stateFolder).read("learned.state", StateFile.MAX_LENGTH_BYTES);
            if (file != null && condition.test(StateFile.decode(file))) {
                return StateFile.decode(file);
            }
            assertTrue(System.nanoTime() - until < 0, "the state file never met the condition");
            Thread.onSpinWait();
        }
    }

    private Exchange sendKeyed(String txn, String key) throws IOException {
        return program.client().write(request("/guardar", txn, TIME + "Idempotency-Key: " + key + "\r\n", "soup"));
    }

    @Test
    public void keyedJobOfAPreviousProcessIsNotSentAgainWithinItsWindow() throws Exception {
        start();
        sendKeyed("t1", "k1");
        Exchange running = workerA.accept().startAnswer("started");
        awaitStateFile(content -> !content.learned().keys().isEmpty());
        program.process.destroyForcibly().waitFor();
        running.close();
        program.close();
        start();
        program.hasLogged("state: recovered");
        Exchange repeat = sendKeyed("t2", "k1");
        assertEquals(repeat.readStatus(), 503);
        assertTrue(Double.parseDouble(repeat.headers.get("retry-after")) > 1, repeat.headers.toString());
        Exchange other = sendKeyed("t3", "k2");
        workerA.accept().startAnswer("done").endAnswer();
        assertEquals(other.readStatus() + other.body, "200made soup");
    }

    @Test
    public void learnedStateIsRecoveredAndGracefulShutdownWritesTheLatest() throws Exception {
        start();
        workerA.serve("started", "done");
        for (int i = 0; i < 20; i++) {
            assertEquals(program.client().write(request("/ficha", "t" + i, TIME + "Connection: close\r\n", "")).readStatus(), 200);
        }
        // The use of all requests is in the file by now, however slow the disk is.
        awaitStateFile(written -> written.learned().buckets().stream().anyMatch(b -> b.used().get(0) == 20));
        long termAt = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
        program.signal("TERM");
        assertTrue(program.process.waitFor(RealProgram.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(program.process.exitValue(), 0);
        // On a disk slower than the shutdown the file may just have been renamed, so the store looks for both.
        StateFile.Content content = new StateStore(DirectoryStorage.readOnly(stateFolder), 2).load().content();
        assertEquals(content.learned().buckets().get(0).used().get(0), Long.valueOf(20), "the use of each request must be in the state file");
        assertTrue(content.learned().workers().get(0).weight() > 5, content.learned().workers().toString());
        if (content.learned().at() < termAt + SHUTDOWN_MIN_US) {
            program.hasLogged("the last value was not written before the end");
        }
        program.close();
        start();
        assertTrue(program.hasLogged("state: recovered").contains("1 workers, 1 buckets"));
        awaitStateFile(written -> written.learned().at() > content.learned().at() && written.learned().buckets().get(0).used().get(0) >= 20
                && written.learned().workers().get(0).weight() > 1);
    }

    @Test
    public void secondProcessServesWithoutTheStateFolder() throws Exception {
        start();
        awaitStateFile(content -> true);
        try (RealProgram second = new RealProgram("state.dir = \"" + stateFolder + "\"\n", Map.of(), workerA)) {
            second.awaitServing();
            assertTrue(second.hasLogged("state: nothing is kept").contains("held by another process"));
        }
    }

    @Test
    public void missingFolderIsLoggedAndServiceContinues() throws Exception {
        start();
        awaitStateFile(content -> true);
        // Atomically: when deleting file by file, the program could write another one before the folder is deleted.
        Path aside = Files.createTempDirectory("aside");
        Files.move(stateFolder, aside, StandardCopyOption.ATOMIC_MOVE);
        program.awaitLog("state: not written");
        workerA.serve("done");
        assertEquals(program.client().write(request("/ficha", "t1", TIME, "")).readStatus(), 200);
        Files.createDirectory(stateFolder);
        awaitStateFile(content -> true);
        deleteRecursively(aside);
    }

    @Test
    public void corruptFilesAndLinksAreLoggedAndTheStartContinuesEmpty() throws Exception {
        Files.writeString(stateFolder.resolve("learned.state"), "rubbish that is long enough to have a head in it");
        Path elsewhere = Files.createTempFile("elsewhere", ".state");
        Files.createSymbolicLink(stateFolder.resolve("learned.state.1"), elsewhere);
        program = new RealProgram("state.dir = \"" + stateFolder + "\"\nstate.every = 100ms\n", fields, workerA);
        assertTrue(program.awaitLog("state: learned.state:").contains("not a state file"));
        assertTrue(program.awaitLog("state: learned.state.1:").contains("not a file"));
        program.awaitLog("state: nothing to recover");
        awaitStateFile(content -> content.name().equals("n0"));
        assertEquals(Files.readString(stateFolder.resolve("learned.aside")).substring(0, 7), "rubbish");
        assertEquals(Files.size(elsewhere), 0);
        Files.delete(elsewhere);
        assertEquals(new StateStore(DirectoryStorage.readOnly(stateFolder), 2).load().problems().size(), 0);
    }
}
