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

/** What passes from one version to the next, and what must not. */
class StateHandoverTest {
    private static final LearnedState LEARNED = new LearnedState(5_000_000, 2e5, 4, 1e6, 99, List.of(new LearnedState.Kind(0, 1, 2, 3)),
            List.of(new LearnedState.Worker(7, 0, 0, 0, 1, 2, 5, 0, List.of(11L))),
            List.of(new LearnedState.Bucket(0, List.of(4L), 9, 5_000_000)), List.of());

    @TempDir
    private Path folder;
    private StateHandover old;
    private StateHandover next;
    private final List<String> asked = new ArrayList<>();

    @BeforeEach
    void both() {
        StateIndexMapping places = new StateIndexMapping("n0", "s", 0, 1, List.of("acme"), List.of("m"));
        old = new StateHandover(folder.resolve("granitefold-a"), places);
        next = new StateHandover(folder.resolve("granitefold-a"), places);
    }

    private List<String> left() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(f -> f.getFileName().toString()).toList();
        }
    }

    @Test
    void whatWasLearnedPassesAndNothingIsLeftBehind() throws Exception {
        String word = next.ask();
        old.look(asked::add);
        assertEquals(List.of(word), asked);
        old.tell(word, LEARNED);
        old.look(asked::add);
        assertEquals(1, asked.size(), "one wish, one answer");
        LearnedState inherited = next.await(word, 0);
        assertNotNull(inherited);
        assertEquals(LEARNED.workers(), inherited.workers());
        assertEquals(LEARNED.buckets(), inherited.buckets());
        assertEquals(List.of(), left());
    }

    /** The old one is stopped, hangs, or is of a version that knows of no wish. */
    @Test
    void withoutAnAnswerItStartsWithout() throws Exception {
        assertNull(next.await(next.ask(), 0));
        assertEquals(List.of(), left());
        old.look(asked::add);
        assertEquals(List.of(), asked);
    }

    /** The folder is left as it was: by a start that was killed, or an answer that came too late. */
    @Test
    void whatAnEarlierStartLeftIsNotRead() throws Exception {
        String before = next.ask();
        old.tell(before, LEARNED);
        String word = next.ask();
        assertNull(next.await(word, 0));
    }

    @Test
    void aDamagedAnswerIsNotTaken() throws Exception {
        String word = next.ask();
        old.tell(word, LEARNED);
        Path answer = folder.resolve("granitefold-a.wish." + word);
        byte[] file = Files.readAllBytes(answer);
        file[file.length / 2] ^= 1;
        Files.write(answer, file);
        assertNull(next.await(word, 0));
    }

    /** A word becomes part of a file's name. */
    @Test
    void aWishThatIsNoWordOfOursIsNotAnswered() throws Exception {
        for (String odd : List.of("", "../x", "x".repeat(100_000), "0123456789-0123456789-0123456789-/..")) {
            Files.writeString(folder.resolve("granitefold-a.wish"), odd);
            old.look(asked::add);
        }
        assertEquals(List.of(), asked);
    }
}
