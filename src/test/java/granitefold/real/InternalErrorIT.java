package granitefold.real;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import granitefold.standin.ground.PatchedJar;
import granitefold.standin.ground.PatchedJar.Patch;
import granitefold.standin.ground.Scenario;
import granitefold.standin.ground.TestRun;
import granitefold.standin.history.Violation.Rule;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** An internal error in the handling of one event does not affect other answers. */
public final class InternalErrorIT {
    /** Guards against dropping an answer already decided when the same event fails afterwards. */
    @Test
    public void errorAfterAnAnswerDoesNotDropTheAnswer() throws Exception {
        Path folder = Files.createTempDirectory("errors");
        try {
            Path jar = PatchedJar.build(Path.of("target/granitefold.jar"), folder, "error", new Patch("core/Requests.java",
                    "        reply(context.client, context.submission(), answer);", "        reply(context.client, context.submission(), answer);\n"
                            + "        if (context.id % 5 == 0) {\n            throw new IllegalStateException(\"planted\");\n        }"));
            TestRun run = TestRun.run(Scenario.read("error", "for = 3s, dispatchers.count = 1, cocineros { count = 3, slots = 4 }\n"
                    + "load { rate = 60, retries = 0 }"), 7, jar, r -> { });
            assertEquals(run.scriptError(), null);
            assertTrue(run.violations().stream().anyMatch(v -> v.rule() == Rule.SELF_REPORTED), "no error was planted");
            assertTrue(run.violations().stream().allMatch(v -> v.rule() == Rule.SELF_REPORTED), run.violations().toString());
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        }
    }
}
