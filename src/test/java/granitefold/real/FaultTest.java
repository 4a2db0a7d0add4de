package granitefold.real;

import granitefold.standin.faults.SystemCallFaults;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;

/** What tests with faults below the program share: it starts with the fault library preloaded. */
class FaultTest extends RealTest {
    SystemCallFaults faults;
    private Path folder;

    @BeforeClass
    public void library() throws Exception {
        folder = Files.createTempDirectory("faults");
        SystemCallFaults.build(folder);
    }

    @AfterClass(alwaysRun = true)
    public void clear() throws IOException {
        for (Path file : Files.list(folder).toList()) {
            Files.delete(file);
        }
        Files.delete(folder);
    }

    void startWithFaults() throws Exception {
        prepare();
        launch();
        program.awaitServing();
    }

    /** Faults may be switched on from now on, before there is a process. */
    void prepare() throws Exception {
        faults = SystemCallFaults.create(SystemCallFaults.build(folder), Files.createTempFile(folder, "control", ""));
    }

    void launch() throws IOException {
        program = new RealProgram(null, faults.environment(), fields, workerA);
    }

    static void sleepUntil(long fromNs, long ms) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(fromNs + TimeUnit.MILLISECONDS.toNanos(ms) - System.nanoTime());
    }
}
