package granitefold.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import granitefold.recovery.LearnedState;
import granitefold.state.StateFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Exit statuses, which scripts rely on. */
class CommandsTest {
    @TempDir
    Path folder;

    @Test
    void wrongUsageExitsWith64() {
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
    void checkExitsWithTwoForInvalidFiles() throws Exception {
        assertEquals(0, Commands.run("check", "deploy/operator.conf", "examples/config.json"));
        Path invalidConf = Files.writeString(folder.resolve("bad.conf"), "x = 1");
        Path json = Files.writeString(folder.resolve("bad.json"), "{\"listen\": 7}");
        assertEquals(2, Commands.run("check", invalidConf.toString(), "deploy/operator.conf"));
        assertEquals(2, Commands.run("check", json.toString()));
        assertEquals(2, Commands.run("check", folder.resolve("none.conf").toString()));
        assertEquals(2, Commands.run("status", "--operator", invalidConf.toString()));
    }

    @Test
    void unreachableDispatcherExitsWithOne() {
        assertEquals(1, Commands.run("status", "--socket", folder.resolve("none").toString()));
        assertEquals(1, Commands.run("drain", "--operator", "deploy/operator.conf"), "the operator's file names no socket");
    }

    @Test
    void stateCommandsExitWithOneForDamagedFiles() throws Exception {
        LearnedState learned = new LearnedState(7, 1, 1, 1, 1, List.of(), List.of(), List.of(new LearnedState.Bucket(0, List.of(3L), 2, 1)), List.of());
        byte[] bytes = StateFile.encode(new StateFile.Content("n0", "s", 0, 1, List.of("acme"), List.of(), learned));
        Path whole = Files.write(folder.resolve("learned.state"), bytes);
        bytes[50] ^= 1;
        Path damaged = Files.write(folder.resolve("damaged"), bytes);
        Path json = folder.resolve("out.json");
        assertEquals(0, Commands.run("state", "verify", whole.toString()));
        assertEquals(0, Commands.run("state", "verify", folder.toString()));
        assertEquals(1, Commands.run("state", "verify", damaged.toString()));
        assertEquals(1, Commands.run("state", "verify", folder.resolve("none").toString()));
        assertEquals(0, Commands.run("state", "inspect", whole.toString()));
        assertEquals(0, Commands.run("state", "diff", whole.toString(), whole.toString()));
        assertEquals(0, Commands.run("state", "export", whole.toString(), "--json", json.toString()));
        assertEquals("acme", new ObjectMapper().readTree(json.toFile()).at("/tenants/0").asText());
        assertEquals(64, Commands.run("state", "frob"));
    }
}
