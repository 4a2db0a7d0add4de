package granitefold.real;

import granitefold.standin.faults.SystemCallFaults;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;

/** Base of the tests with failing system calls: the program runs with the fault library preloaded. */
class FaultTest extends RealTest {
    SystemCallFaults faults;
    private Path folder;

    @BeforeClass
    public void buildLibrary() throws Exception {
        folder = Files.createTempDirectory("faults");
        SystemCallFaults.build(folder);
    }

    @AfterClass(alwaysRun = true)
    public void deleteFolder() throws IOException {
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

    /** Creates the fault controls, so that faults can be enabled before the process starts. */
    void prepare() throws Exception {
        faults = SystemCallFaults.create(SystemCallFaults.build(folder), Files.createTempFile(folder, "control", ""));
    }

    void launch() throws IOException {
        program = new RealProgram(null, faults.environment(), fields, workerA);
    }

    /** Sleeps until a time given as a start in nanoseconds and milliseconds after it. */
    static void sleepUntil(long fromNs, long ms) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(fromNs + TimeUnit.MILLISECONDS.toNanos(ms) - System.nanoTime());
    }
}
