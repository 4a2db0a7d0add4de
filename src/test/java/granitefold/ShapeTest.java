package granitefold;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Sources stay short enough to be read, and all that decides is named in the deploy file. */
class ShapeTest {
    private static final int LINES_MOST = 400, COLUMNS_MOST = 110;
    private static final Set<String> DATA = Set.of("Attempt.java", "LearnedStateMapper.java", "Job.java", "PolicyState.java",
            "SlotSchedule.java", "TrackedWorker.java", "StatusSummary.java", "SiblingMessage.java", "LoadReportQueue.java", "package-info.java");

    @Test
    void allThatDecidesIsNamedInTheDeployFileAndNarrow() throws IOException {
        String policy = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("policy")).findFirst().orElseThrow();
        try (Stream<Path> files = Files.list(Path.of("src/main/java/granitefold/policy"))) {
            files.map(f -> f.getFileName().toString()).filter(f -> !DATA.contains(f))
                    .forEach(f -> assertTrue(policy.contains("/" + f), f + " decides, and is not listed"));
        }
        for (String part : policy.substring(policy.indexOf('[') + 1, policy.indexOf(']')).split(",")) {
            List<String> lines = Files.readAllLines(Path.of(part.trim().replace("\"", "")));
            assertTrue(lines.stream().allMatch(l -> l.length() <= COLUMNS_MOST), part + ": " + COLUMNS_MOST + " columns at most");
        }
    }

    @Test
    void noSourceIsOverFourHundredLines() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src"))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                int lines = Files.readAllLines(file).size();
                assertTrue(lines <= LINES_MOST, file + " has " + lines + " lines, " + LINES_MOST + " at most");
            }
        }
    }
}
