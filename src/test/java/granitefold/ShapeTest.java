package granitefold;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Source files stay short, and the deploy file lists every policy file that makes decisions. */
class ShapeTest {
    private static final int MAX_LINES = 400, MAX_POLICY_COLUMNS = 110;
    private static final Set<String> DATA_CLASSES = Set.of("Attempt.java", "LearnedStateMapper.java", "Job.java", "PolicyState.java",
            "SlotSchedule.java", "TrackedWorker.java", "StatusSummary.java", "SiblingMessage.java", "LoadReportQueue.java", "package-info.java");

    @Test
    void policyFilesAreListedInTheDeployFileAndNarrow() throws IOException {
        String policy = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("policy")).findFirst().orElseThrow();
        try (Stream<Path> files = Files.list(Path.of("src/main/java/granitefold/policy"))) {
            files.map(f -> f.getFileName().toString()).filter(f -> !DATA_CLASSES.contains(f))
                    .forEach(f -> assertTrue(policy.contains("/" + f), f + " makes decisions and is not listed in the deploy file"));
        }
        for (String listedFile : policy.substring(policy.indexOf('[') + 1, policy.indexOf(']')).split(",")) {
            List<String> lines = Files.readAllLines(Path.of(listedFile.trim().replace("\"", "")));
            assertTrue(lines.stream().allMatch(l -> l.length() <= MAX_POLICY_COLUMNS), listedFile + ": " + MAX_POLICY_COLUMNS + " columns allowed");
        }
    }

    @Test
    void noSourceFileExceedsFourHundredLines() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src"))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                int lines = Files.readAllLines(file).size();
                assertTrue(lines <= MAX_LINES, file + " has " + lines + " lines, " + MAX_LINES + " allowed");
            }
        }
    }
}
