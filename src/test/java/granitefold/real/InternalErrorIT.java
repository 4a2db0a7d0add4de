package granitefold.real;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import granitefold.standin.ground.TestRun;
import granitefold.standin.ground.Scenario;
import granitefold.standin.ground.PatchedJar;
import granitefold.standin.ground.PatchedJar.Patch;
import granitefold.standin.history.Violation.Rule;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** A defect in the handling of one event costs nothing else its answer. */
public final class InternalErrorIT {
    /** The answer had been decided, and was dropped with the event that failed behind it. */
    @Test
    public void anErrorBehindAnAnswerDoesNotTakeTheAnswerAlong() throws Exception {
        Path folder = Files.createTempDirectory("errors");
        try {
            Path jar = PatchedJar.build(Path.of("target/granitefold.jar"), folder, "error", new Patch("core/Requests.java",
                    "        reply(c.client, c.submission, answer);", "        reply(c.client, c.submission, answer);\n"
                            + "        if (c.id % 5 == 0) {\n            throw new IllegalStateException(\"planted\");\n        }"));
            TestRun play = TestRun.run(Scenario.read("error", "for = 3s, dispatchers.count = 1, cocineros { count = 3, slots = 4 }\n"
                    + "load { rate = 60, retries = 0 }"), 7, jar, r -> { });
            assertEquals(play.scriptError(), null);
            assertTrue(play.violations().stream().anyMatch(v -> v.rule() == Rule.SELF_REPORTED), "no error was planted");
            assertTrue(play.violations().stream().allMatch(v -> v.rule() == Rule.SELF_REPORTED), play.violations().toString());
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        }
    }
}
