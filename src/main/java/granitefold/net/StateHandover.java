package granitefold.net;

import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.recovery.LearnedState;
import granitefold.state.StateIndexMapping;
import granitefold.state.StateFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Passes what was learned from the process that serves to the next version, through the folder that they share. The new one
 * leaves a wish there with a word made up for it, and takes only an answer under that word: what an earlier start has left is
 * never read. The answer is a state file, checked and versioned, and comes under its name whole or not at all. Without an
 * answer in time the new one starts as any other.
 */
final class StateHandover {
    private static final long LOOK_MS = 10;

    private final Path wish;
    private final StateIndexMapping places;
    private String answered = "";

    /** {@code stem}: the shared path that file names begin with. */
    StateHandover(Path stem, StateIndexMapping places) {
        wish = named(stem, ".wish");
        this.places = places;
    }

    private static Path named(Path stem, String ending) {
        return stem.resolveSibling(stem.getFileName() + ending);
    }

    private Path answer(String word) {
        return named(wish, "." + word);
    }

    /** The new version: asks; returns the word to wait for, null where the folder cannot be written. */
    String ask() {
        String word = UUID.randomUUID().toString();
        try {
            Path whole = named(wish, ".new");
            Files.writeString(whole, word);
            Files.move(whole, wish, StandardCopyOption.ATOMIC_MOVE);
            return word;
        } catch (IOException e) {
            EventLog.log(LogEvent.HAND_OVER_FAILED, e.toString());
            return null;
        }
    }

    /** Waits for the answer for so long at the most; null if none came that can be used. */
    LearnedState await(String word, long mostMs) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
        try {
            while (!Files.exists(answer(word)) && System.nanoTime() - until < 0) {
                Thread.sleep(LOOK_MS);
            }
            if (!Files.exists(answer(word))) {
                EventLog.log(LogEvent.HAND_OVER_FAILED, "no answer in time");
                return null;
            }
            if (Files.size(answer(word)) > StateFile.MAX_LENGTH_BYTES) {
                EventLog.log(LogEvent.HAND_OVER_FAILED, "the answer is too long");
                return null;
            }
            StateFile.Content found = StateFile.decode(Files.readAllBytes(answer(word)));
            if (places.mismatchReason(found) != null) {
                EventLog.log(LogEvent.HAND_OVER_FAILED, places.mismatchReason(found));
            }
            return places.remap(found);
        } catch (IOException | StateFile.UnreadableFileException e) {
            EventLog.log(LogEvent.HAND_OVER_FAILED, e.getMessage());
            return null;
        } finally {
            forget(wish);
            forget(answer(word));
        }
    }

    private static void forget(Path file) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            // it is under a word that nobody asks for again
        }
    }

    /** The process that serves: if somebody asks who has not been answered, {@code learned} is to call {@link #tell}. */
    void look(Consumer<String> learned) {
        try {
            if (Files.exists(wish)) {
                String word = Files.readString(wish);
                // a word of ours is a UUID: nothing else becomes part of a file's name
                if (!word.equals(answered) && word.matches("[0-9a-f-]{36}")) {
                    answered = word;
                    learned.accept(word);
                }
            }
        } catch (IOException e) {
            // it has gone again, or cannot be read: whoever asks starts without
        }
    }

    /** Writes the answer. */
    void tell(String word, LearnedState learned) {
        Path whole = answer(word + ".new");
        try {
            Files.write(whole, StateFile.encode(places.toContent(learned)), StandardOpenOption.CREATE_NEW);
            Files.move(whole, answer(word), StandardCopyOption.ATOMIC_MOVE);
            EventLog.log(LogEvent.HAND_OVER_SENT, learned.workers().size(), learned.buckets().size());
        } catch (IOException e) {
            EventLog.log(LogEvent.HAND_OVER_FAILED, e.toString());
            forget(whole);
        }
    }
}
