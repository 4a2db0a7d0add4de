package granitefold.operator;

import com.code_intelligence.jazzer.junit.FuzzTest;
import java.nio.charset.StandardCharsets;

/** Any text is either read or rejected with problems that name the file; no other exception is thrown. */
class OperatorFileFuzz {
    @FuzzTest(maxDuration = "8s")
    void read(byte[] bytes) {
        try {
            if (OperatorFile.read("f", new String(bytes, StandardCharsets.UTF_8)).settings() == null) {
                throw new AssertionError("read returned no settings");
            }
        } catch (InvalidFileException e) {
            if (e.problems().isEmpty() || !e.problems().stream().allMatch(p -> p.startsWith("f:"))) {
                throw new AssertionError("problems without a position: " + e.problems());
            }
        }
    }
}
