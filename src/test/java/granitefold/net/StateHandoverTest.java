package granitefold.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import granitefold.recovery.LearnedState;
import granitefold.state.StateIndexMapping;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests which state a new version takes over from the serving process, and which files it must not read. */
class StateHandoverTest {
    private static final LearnedState LEARNED = new LearnedState(5_000_000, 2e5, 4, 1e6, 99, List.of(new LearnedState.Kind(0, 1, 2, 3)),
            List.of(new LearnedState.Worker(7, 0, 0, 0, 1, 2, 5, 0, List.of(11L))),
            List.of(new LearnedState.Bucket(0, List.of(4L), 9, 5_000_000)), List.of());

    @TempDir
    private Path folder;
    private StateHandover serving;
    private StateHandover successor;
    private final List<String> requestedTokens = new ArrayList<>();

    @BeforeEach
    void createBoth() {
        StateIndexMapping indexMapping = new StateIndexMapping("n0", "s", 0, 1, List.of("acme"), List.of("m"));
        serving = new StateHandover(folder.resolve("granitefold-a"), indexMapping);
        successor = new StateHandover(folder.resolve("granitefold-a"), indexMapping);
    }

    private List<String> remainingFiles() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(f -> f.getFileName().toString()).toList();
        }
    }

    @Test
    void learnedStateIsTransferredAndNoFilesRemain() throws Exception {
        String token = successor.request();
        serving.poll(requestedTokens::add);
        assertEquals(List.of(token), requestedTokens);
        serving.respond(token, LEARNED);
        serving.poll(requestedTokens::add);
        assertEquals(1, requestedTokens.size(), "one request, one response");
        LearnedState inherited = successor.await(token, 0);
        assertNotNull(inherited);
        assertEquals(LEARNED.workers(), inherited.workers());
        assertEquals(LEARNED.buckets(), inherited.buckets());
        assertEquals(List.of(), remainingFiles());
    }

    /** The old process is stopped, hangs, or is of a version without hand-over. */
    @Test
    void withoutAResponseNothingIsInherited() throws Exception {
        assertNull(successor.await(successor.request(), 0));
        assertEquals(List.of(), remainingFiles());
        serving.poll(requestedTokens::add);
        assertEquals(List.of(), requestedTokens);
    }

    /** Files may remain from a start that was killed, or from a response that was too late. */
    @Test
    void filesOfAnEarlierStartAreNotRead() throws Exception {
        String earlierToken = successor.request();
        serving.respond(earlierToken, LEARNED);
        String token = successor.request();
        assertNull(successor.await(token, 0));
    }

    @Test
    void aDamagedResponseIsRejected() throws Exception {
        String token = successor.request();
        serving.respond(token, LEARNED);
        Path response = folder.resolve("granitefold-a.wish." + token);
        byte[] file = Files.readAllBytes(response);
        file[file.length / 2] ^= 1;
        Files.write(response, file);
        assertNull(successor.await(token, 0));
    }

    /** The token becomes part of a file name, so an arbitrary one could name any file. */
    @Test
    void aRequestWithAnInvalidTokenIsIgnored() throws Exception {
        for (String invalid : List.of("", "../x", "x".repeat(100_000), "0123456789-0123456789-0123456789-/..")) {
            Files.writeString(folder.resolve("granitefold-a.wish"), invalid);
            serving.poll(requestedTokens::add);
        }
        assertEquals(List.of(), requestedTokens);
    }
}
