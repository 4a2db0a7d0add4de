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

/** The real program killed and back, with a folder that lasts. */
public class StateIT {
    private static final String TIME = "X-Remaining-Ms: 20000\r\nX-Estimate: 100000\r\n";
    /** Clients without a sibling to go to are served on for longer than this after the word to end. */
    private static final long LAST_US = 2_000_000;
    private final Map<String, String> fields = new HashMap<>();
    private Path folder;
    private Worker workerA;
    private RealProgram program;

    @BeforeMethod
    public void setUp() throws IOException {
        folder = Files.createTempDirectory("state");
        workerA = new Worker("s-a");
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
        program.close();
        program.process.waitFor();
        workerA.close();
        remove(folder);
    }

    private static void remove(Path folder) throws IOException {
        if (Files.exists(folder)) {
            for (Path p : Files.walk(folder).sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }

    private RealProgram start() throws Exception {
        program = new RealProgram("state.dir = \"" + folder + "\"\nstate.every = 100ms\n", fields, workerA);
        program.awaitServing();
        return program;
    }

    /** Waits until the file holds what is looked for. */
    private StateFile.Content await(Predicate<StateFile.Content> what) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(RealProgram.TIMEOUT_S);
        while (true) {
            byte[] file = DirectoryStorage.readOnly(folder).read("learned.state", StateFile.MAX_LENGTH_BYTES);
            if (file != null && what.test(StateFile.decode(file))) {
                return StateFile.decode(file);
            }
            assertTrue(System.nanoTime() - until < 0, "the file never holds it");
            Thread.onSpinWait();
        }
    }

    private Exchange save(String txn, String key) throws IOException {
        return program.client().write(request("/guardar", txn, TIME + "Idempotency-Key: " + key + "\r\n", "soup"));
    }

    @Test
    public void aKeyedJobOfAFormerLifeIsNotSentAgainWithinItsWindow() throws Exception {
        start();
        save("t1", "k1");
        Exchange running = workerA.accept().startAnswer("started");
        await(c -> !c.learned().keys().isEmpty());
        program.process.destroyForcibly().waitFor();
        running.close();
        program.close();
        start();
        program.hasLogged("state: recovered");
        Exchange repeat = save("t2", "k1");
        assertEquals(repeat.readStatus(), 503);
        assertTrue(Double.parseDouble(repeat.headers.get("retry-after")) > 1, repeat.headers.toString());
        Exchange other = save("t3", "k2");
        workerA.accept().startAnswer("done").endAnswer();
        assertEquals(other.readStatus() + other.body, "200made soup");
    }

    @Test
    public void whatWasLearnedComesBackAndAPlannedEndWritesTheLast() throws Exception {
        start();
        workerA.serve("started", "done");
        for (int i = 0; i < 20; i++) {
            assertEquals(program.client().write(request("/ficha", "t" + i, TIME + "Connection: close\r\n", "")).readStatus(), 200);
        }
        // however slow the disk is, all of it is there by now
        await(x -> x.learned().buckets().stream().anyMatch(b -> b.used().get(0) == 20));
        long termAt = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
        program.signal("TERM");
        assertTrue(program.process.waitFor(RealProgram.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(program.process.exitValue(), 0);
        // the file of that name may have just been put aside where the disk took longer than the end may
        StateFile.Content c = new StateStore(DirectoryStorage.readOnly(folder), 2).load().content();
        assertEquals(c.learned().buckets().get(0).used().get(0), Long.valueOf(20), "each request's use is in it");
        assertTrue(c.learned().workers().get(0).weight() > 5, c.learned().workers().toString());
        if (c.learned().at() < termAt + LAST_US) {
            program.hasLogged("the last value was not written before the end");
        }
        program.close();
        start();
        assertTrue(program.hasLogged("state: recovered").contains("1 workers, 1 buckets"));
        await(x -> x.learned().at() > c.learned().at() && x.learned().buckets().get(0).used().get(0) >= 20
                && x.learned().workers().get(0).weight() > 1);
    }

    @Test
    public void aSecondProcessServesWithoutTheFolder() throws Exception {
        start();
        await(c -> true);
        try (RealProgram second = new RealProgram("state.dir = \"" + folder + "\"\n", Map.of(), workerA)) {
            second.awaitServing();
            assertTrue(second.hasLogged("state: nothing is kept").contains("held by another process"));
        }
    }

    @Test
    public void aFolderThatGoesAwayIsToldAndServiceGoesOn() throws Exception {
        start();
        await(c -> true);
        // at once: file by file, the program might write another between the last of them and the folder
        Path aside = Files.createTempDirectory("aside");
        Files.move(folder, aside, StandardCopyOption.ATOMIC_MOVE);
        program.awaitLog("state: not written");
        workerA.serve("done");
        assertEquals(program.client().write(request("/ficha", "t1", TIME, "")).readStatus(), 200);
        Files.createDirectory(folder);
        await(c -> true);
        remove(aside);
    }

    @Test
    public void rubbishAndLinksAreToldAndTheStartGoesOnEmpty() throws Exception {
        Files.writeString(folder.resolve("learned.state"), "rubbish that is long enough to have a head in it");
        Path elsewhere = Files.createTempFile("elsewhere", ".state");
        Files.createSymbolicLink(folder.resolve("learned.state.1"), elsewhere);
        program = new RealProgram("state.dir = \"" + folder + "\"\nstate.every = 100ms\n", fields, workerA);
        assertTrue(program.awaitLog("state: learned.state:").contains("not a state file"));
        assertTrue(program.awaitLog("state: learned.state.1:").contains("not a file"));
        program.awaitLog("state: nothing to recover");
        await(c -> c.name().equals("n0"));
        assertEquals(Files.readString(folder.resolve("learned.aside")).substring(0, 7), "rubbish");
        assertEquals(Files.size(elsewhere), 0);
        Files.delete(elsewhere);
        assertEquals(new StateStore(DirectoryStorage.readOnly(folder), 2).load().problems().size(), 0);
    }
}
