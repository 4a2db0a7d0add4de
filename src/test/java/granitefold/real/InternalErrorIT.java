package granitefold.real;

import static granitefold.real.RealProgram.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import granitefold.real.RealProgram.Worker;
import granitefold.standin.ground.PatchedJar;
import granitefold.standin.ground.PatchedJar.Patch;
import granitefold.standin.ground.Scenario;
import granitefold.standin.ground.TestRun;
import granitefold.standin.history.Violation.Rule;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
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
            delete(folder);
        }
    }

    private static final int OWED_MS = 3_000;

    /** Guards against a request whose decoding fails by a defect: it stayed in progress for ever, and its client heard nothing. */
    @Test
    public void requestThatFailsToBeDecodedGetsAnErrorOrClose() throws Exception {
        Path folder = Files.createTempDirectory("errors");
        Path jar = PatchedJar.build(Path.of("target/granitefold.jar"), folder, "decode", new Patch("wire/ClientRequest.java",
                "        int slots = 1;\n", "        int slots = 1;\n        if (txn.startsWith(\"fatal\")) {\n            throw new IllegalStateException(\"planted\");\n        }\n"));
        try (Worker worker = new Worker("s-a");
                RealProgram program = new RealProgram(null, Map.of(RealProgram.JAR_VARIABLE, jar.toString()), Map.of(), worker)) {
            worker.serve("done");
            program.awaitServing();
            Exchange first = program.client().write(request("/ficha", "fatal-1", RealTest.TIME, "soup"));
            Exchange behind = program.client().write(request("/ficha", "sound-1", RealTest.TIME, "soup") + request("/ficha", "fatal-2", RealTest.TIME, "salt"));
            assertEquals(behind.readStatus(), 200);
            for (Exchange client : List.of(first, behind)) {
                client.socket.setSoTimeout(OWED_MS);
                assertTrue(client.read() == null || client.lastStatus() >= 500, client.firstLine);
            }
            assertEquals(program.client().write(request("/ficha", "sound-2", RealTest.TIME, "soup")).readStatus(), 200);
        } finally {
            delete(folder);
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }
}
