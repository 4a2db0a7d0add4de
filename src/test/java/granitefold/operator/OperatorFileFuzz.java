package granitefold.operator;

import com.code_intelligence.jazzer.junit.FuzzTest;
import java.nio.charset.StandardCharsets;

/** Any text is read or refused with problems that name the file; nothing else comes out. */
class OperatorFileFuzz {
    @FuzzTest(maxDuration = "8s")
    void read(byte[] bytes) {
        try {
            if (OperatorFile.read("f", new String(bytes, StandardCharsets.UTF_8)).settings() == null) {
                throw new AssertionError("read as nothing");
            }
        } catch (InvalidFileException e) {
            if (e.problems().isEmpty() || !e.problems().stream().allMatch(p -> p.startsWith("f:"))) {
                throw new AssertionError("problems without a place: " + e.problems());
            }
        }
    }
}
