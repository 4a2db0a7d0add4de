package granitefold.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Exit statuses, which scripts go by. */
class CommandsTest {
    @TempDir
    Path folder;

    @Test
    void wrongUsageIsSixtyFour() {
        for (String[] args : new String[][] {{}, {"frob"}, {"drain"}, {"status", "--frob"}, {"serve", "x"}, {"check"},
            {"drain", "--socket", "/x", "--operator", "/y"}, {"drain", "--socket", "/x", "--timeout", "soon"}}) {
            assertEquals(64, Commands.run(args), String.join(" ", args));
        }
        assertEquals(0, Commands.run("--help"));
        assertEquals(0, Commands.run("drain", "--help"));
        assertEquals(0, Commands.run("--version"));
        assertEquals(0, Commands.run("generate-completion"));
    }

    @Test
    void checkTellsGoodFilesFromBroken() throws Exception {
        assertEquals(0, Commands.run("check", "deploy/operator.conf", "examples/config.json"));
        Path bad = Files.writeString(folder.resolve("bad.conf"), "x = 1");
        Path json = Files.writeString(folder.resolve("bad.json"), "{\"listen\": 7}");
        assertEquals(2, Commands.run("check", bad.toString(), "deploy/operator.conf"));
        assertEquals(2, Commands.run("check", json.toString()));
        assertEquals(2, Commands.run("check", folder.resolve("none.conf").toString()));
        assertEquals(2, Commands.run("status", "--operator", bad.toString()));
    }

    @Test
    void whereNoDispatcherAnswersTheStatusIsOne() {
        assertEquals(1, Commands.run("status", "--socket", folder.resolve("none").toString()));
        assertEquals(1, Commands.run("drain", "--operator", "deploy/operator.conf"), "it names no socket");
    }
}
