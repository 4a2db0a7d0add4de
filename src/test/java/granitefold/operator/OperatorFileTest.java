package granitefold.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.availability.AvailabilitySettings;
import granitefold.core.OptionalFeatures;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Reads valid operator's files, and files with the usual kinds of mistakes. */
class OperatorFileTest {
    private static List<String> problems(String text) {
        return assertThrows(InvalidFileException.class, () -> OperatorFile.read("f.conf", text), text).problems();
    }

    @Test
    void emptyFileEnablesNothing() throws InvalidFileException {
        OperatorSettings settings = OperatorFile.read("f.conf", "").settings();
        assertEquals(OperatorSettings.NONE.clients(), settings.clients());
        assertFalse(settings.publishesAvailability());
        assertEquals(AvailabilitySettings.DEFAULTS, settings.availability());
        assertEquals(OptionalFeatures.NONE, settings.extras(true));
    }

    @Test
    void deployedFileListsEveryKeyCommentedOut() throws Exception {
        String text = Files.readString(Path.of("deploy/operator.conf"));
        assertEquals(OperatorFile.read("d", "").effective(), OperatorFile.read("d", text).effective());
        String uncommented = text.lines().filter(l -> l.matches("# [a-z-]+\\.[a-z.-]+ = .*")).map(l -> l.substring(2))
                .collect(Collectors.joining("\n"));
        OperatorFile.Read all = OperatorFile.read("d", uncommented);
        assertEquals(new TreeSet<>(all.effective().keySet()), new TreeSet<>(uncommented.lines().map(l -> l.substring(0, l.indexOf(' ')))
                .toList()));
        // The values that the file gives as defaults are the defaults.
        assertEquals(AvailabilitySettings.DEFAULTS, all.settings().availability());
        assertTrue(all.settings().publishesAvailability());
    }

    @Test
    void allProblemsAreReportedWithTheirPositions() {
        List<String> all = problems("checks.agent {\n  lisen = \"127.0.0.1:1\"\n  connections = 0\n}\nlog.format = yaml\n"
                + "probe { interval = 5, jitter = 2 }\nnonsense = 1\nclients = 7\n");
        assertEquals(7, all.size(), all.toString());
        assertEquals("f.conf:2: checks.agent.lisen: unknown key; did you mean checks.agent.listen?", all.get(0));
        assertTrue(all.get(1).startsWith("f.conf:3: checks.agent.connections: 0 is not allowed; allowed is a whole number"));
        assertTrue(all.get(2).startsWith("f.conf:5: log.format: yaml is not allowed; allowed is text or json"));
        assertTrue(all.get(5).startsWith("f.conf:7: nonsense: unknown key; known are "), all.get(5));
    }

    @Test
    void invalidHoconIsReportedInOneLineWithItsPosition() {
        assertTrue(problems("a = [1,\nb {").get(0).startsWith("f.conf:"));
        assertTrue(problems("checks.agent.listen = ${HOME}").get(0).contains("${...}"));
        assertTrue(problems("include \"other.conf\"").get(0).contains("include"));
        assertTrue(problems("[".repeat(10_000)).get(0).contains("nested"));
        assertTrue(problems("checks.agent.listen = \"localhost:1\"").get(0).contains("literal address"));
    }

    @Test
    void platformSettingOverridesProbing() throws InvalidFileException {
        OperatorSettings settings = OperatorFile.read("f", "probe.allowed = true").settings();
        assertTrue(settings.extras(true).health().probesEnabled());
        assertNull(settings.extras(false).health());
        settings = OperatorFile.read("f", "probe.allowed = true\neject.failures = 5").settings();
        assertFalse(settings.extras(false).health().probesEnabled());
    }

    @Test
    void keysThatNeedARestartAreListed() throws InvalidFileException {
        OperatorSettings a = OperatorFile.read("f", "checks.agent.listen = \"127.0.0.1:1\"").settings();
        OperatorSettings b = OperatorFile.read("f", "checks.agent.listen = \"127.0.0.1:2\"\navailability.rise = 9").settings();
        assertEquals(List.of(), OperatorFile.keysNeedingRestart(a, b));
        OperatorSettings c = OperatorFile.read("f", "log.format = json\nlog.requests = true\nclients.envoy-headers = true\ncontrol.socket = \"/x\"\n"
                + "eject.failures = 1").settings();
        assertEquals(List.of("log.format", "log.requests", "control.socket", "clients", "probe and eject"), OperatorFile.keysNeedingRestart(a, c));
        assertEquals(List.of("checks"), OperatorFile.keysNeedingRestart(OperatorSettings.NONE, a));
    }
}
