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

/** The operator's file, read, and broken in the ways that files get broken. */
class OperatorFileTest {
    private static List<String> problems(String text) {
        return assertThrows(InvalidFileException.class, () -> OperatorFile.read("f.conf", text), text).problems();
    }

    @Test
    void anEmptyFileTurnsNothingOn() throws InvalidFileException {
        OperatorSettings o = OperatorFile.read("f.conf", "").settings();
        assertEquals(OperatorSettings.NONE.clients(), o.clients());
        assertFalse(o.publishesAvailability());
        assertEquals(AvailabilitySettings.DEFAULTS, o.availability());
        assertEquals(OptionalFeatures.NONE, o.extras(true));
    }

    @Test
    void theFileInDeployHoldsEveryKeyAndAllAreOff() throws Exception {
        String text = Files.readString(Path.of("deploy/operator.conf"));
        assertEquals(OperatorFile.read("d", "").effective(), OperatorFile.read("d", text).effective());
        String on = text.lines().filter(l -> l.matches("# [a-z-]+\\.[a-z.-]+ = .*")).map(l -> l.substring(2))
                .collect(Collectors.joining("\n"));
        OperatorFile.Read all = OperatorFile.read("d", on);
        assertEquals(new TreeSet<>(all.effective().keySet()), new TreeSet<>(on.lines().map(l -> l.substring(0, l.indexOf(' ')))
                .toList()));
        // what it calls the defaults are the defaults
        assertEquals(AvailabilitySettings.DEFAULTS, all.settings().availability());
        assertTrue(all.settings().publishesAvailability());
    }

    @Test
    void allProblemsAreToldAtOnceEachWithItsPlace() {
        List<String> all = problems("checks.agent {\n  lisen = \"127.0.0.1:1\"\n  connections = 0\n}\nlog.format = yaml\n"
                + "probe { interval = 5, jitter = 2 }\nnonsense = 1\nclients = 7\n");
        assertEquals(7, all.size(), all.toString());
        assertEquals("f.conf:2: checks.agent.lisen: unknown key; did you mean checks.agent.listen?", all.get(0));
        assertTrue(all.get(1).startsWith("f.conf:3: checks.agent.connections: 0 is not allowed; allowed is a whole number"));
        assertTrue(all.get(2).startsWith("f.conf:5: log.format: yaml is not allowed; allowed is text or json"));
        assertTrue(all.get(5).startsWith("f.conf:7: nonsense: unknown key; known are "), all.get(5));
    }

    @Test
    void whatIsNoHoconIsOneLineWithItsPlace() {
        assertTrue(problems("a = [1,\nb {").get(0).startsWith("f.conf:"));
        assertTrue(problems("checks.agent.listen = ${HOME}").get(0).contains("${...}"));
        assertTrue(problems("include \"other.conf\"").get(0).contains("include"));
        assertTrue(problems("[".repeat(10_000)).get(0).contains("nested"));
        assertTrue(problems("checks.agent.listen = \"localhost:1\"").get(0).contains("literal address"));
    }

    @Test
    void thePlatformForbidsProbesAndWins() throws InvalidFileException {
        OperatorSettings o = OperatorFile.read("f", "probe.allowed = true").settings();
        assertTrue(o.extras(true).health().probesEnabled());
        assertNull(o.extras(false).health());
        o = OperatorFile.read("f", "probe.allowed = true\neject.failures = 5").settings();
        assertFalse(o.extras(false).health().probesEnabled());
    }

    @Test
    void whatARunningProcessCannotTakeOverIsNamed() throws InvalidFileException {
        OperatorSettings a = OperatorFile.read("f", "checks.agent.listen = \"127.0.0.1:1\"").settings();
        OperatorSettings b = OperatorFile.read("f", "checks.agent.listen = \"127.0.0.1:2\"\navailability.rise = 9").settings();
        assertEquals(List.of(), OperatorFile.keysNeedingRestart(a, b));
        OperatorSettings c = OperatorFile.read("f", "log.format = json\nlog.requests = true\nclients.envoy-headers = true\ncontrol.socket = \"/x\"\n"
                + "eject.failures = 1").settings();
        assertEquals(List.of("log.format", "log.requests", "control.socket", "clients", "probe and eject"), OperatorFile.keysNeedingRestart(a, c));
        assertEquals(List.of("checks"), OperatorFile.keysNeedingRestart(OperatorSettings.NONE, a));
    }
}
