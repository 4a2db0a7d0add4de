package granitefold;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** .ci/KnownRed.java accepts failures of exactly the tests that KNOWN-RED.txt lists. */
class KnownRedTest {
    private static final String ENTRY = "SomeIT.fails | SomeIT seed 1 | no answer | 99\n";
    private static final String PASSING_CASE = "<testcase classname='a.SomeIT' name='passes'/>";
    private static final String FAILING_CASE = "<testcase classname='a.SomeIT' name='fails[1](1)'><failure>no answer</failure></testcase>";

    @TempDir
    private Path folder;

    @Test
    void listedTestMayFail() throws Exception {
        assertEquals(0, checkStatus(ENTRY, PASSING_CASE + FAILING_CASE));
    }

    @Test
    void unlistedFailureFailsTheCheck() throws Exception {
        assertEquals(1, checkStatus(ENTRY, FAILING_CASE + "<testcase classname='a.SomeIT' name='planted'><error>planted</error></testcase>"));
    }

    @Test
    void listedTestThatPassesFailsTheCheck() throws Exception {
        assertEquals(1, checkStatus(ENTRY, "<testcase classname='a.SomeIT' name='fails[1](1)'/>"));
    }

    @Test
    void entryThatNamesNoTestFailsTheCheck() throws Exception {
        assertEquals(1, checkStatus(ENTRY, PASSING_CASE));
    }

    @Test
    void malformedEntryFailsTheCheck() throws Exception {
        assertEquals(1, checkStatus("SomeIT.fails\n", FAILING_CASE));
    }

    @Test
    void missingReportsFailTheCheck() throws Exception {
        Files.writeString(folder.resolve("list.txt"), "# none\n");
        assertEquals(1, run());
    }

    private int checkStatus(String list, String cases) throws Exception {
        Files.writeString(folder.resolve("list.txt"), list);
        Files.writeString(folder.resolve("TEST-suite.xml"), "<testsuite>" + cases + "</testsuite>");
        return run();
    }

    private int run() throws IOException, InterruptedException {
        List<String> command = List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), ".ci/KnownRed.java",
                folder.resolve("list.txt").toString(), folder.toString());
        return new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(folder.resolve("out").toFile()).start().waitFor();
    }
}
