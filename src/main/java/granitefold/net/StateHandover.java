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
 * Transfers the learned state from the serving process to its successor during an upgrade, through files in a shared folder. The
 * successor writes a request file with a random token, and reads only a response file that is named after that token, so that files left
 * by earlier starts are never read. The response is a checksummed, versioned state file that is renamed into place atomically. Without
 * a response in time the successor starts without inherited state.
 */
final class StateHandover {
    private static final long POLL_INTERVAL_MS = 10;

    private final Path requestFile;
    private final StateIndexMapping indexMapping;
    private String handledToken = "";

    /** @param pathPrefix common prefix of the paths of shared files */
    StateHandover(Path pathPrefix, StateIndexMapping indexMapping) {
        requestFile = withSuffix(pathPrefix, ".wish");
        this.indexMapping = indexMapping;
    }

    private static Path withSuffix(Path pathPrefix, String suffix) {
        return pathPrefix.resolveSibling(pathPrefix.getFileName() + suffix);
    }

    private Path responseFile(String token) {
        return withSuffix(requestFile, "." + token);
    }

    /** Called by the successor: writes the request file. Returns the token of the response, or null if the folder is not writable. */
    String request() {
        String token = UUID.randomUUID().toString();
        try {
            Path temporary = withSuffix(requestFile, ".new");
            Files.writeString(temporary, token);
            Files.move(temporary, requestFile, StandardCopyOption.ATOMIC_MOVE);
            return token;
        } catch (IOException e) {
            EventLog.log(LogEvent.HAND_OVER_FAILED, e.toString());
            return null;
        }
    }

    /** Waits up to {@code timeoutMs} for the response; returns null if there is none, or none that can be used. */
    LearnedState await(String token, long timeoutMs) throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        try {
            while (!Files.exists(responseFile(token)) && System.nanoTime() - deadlineNs < 0) {
                Thread.sleep(POLL_INTERVAL_MS);
            }
            if (!Files.exists(responseFile(token))) {
                EventLog.log(LogEvent.HAND_OVER_FAILED, "no response from the serving process in time");
                return null;
            }
            if (Files.size(responseFile(token)) > StateFile.MAX_LENGTH_BYTES) {
                EventLog.log(LogEvent.HAND_OVER_FAILED, "the response file is too long");
                return null;
            }
            StateFile.Content content = StateFile.decode(Files.readAllBytes(responseFile(token)));
            if (indexMapping.mismatchReason(content) != null) {
                EventLog.log(LogEvent.HAND_OVER_FAILED, indexMapping.mismatchReason(content));
            }
            return indexMapping.remap(content);
        } catch (IOException | StateFile.UnreadableFileException e) {
            EventLog.log(LogEvent.HAND_OVER_FAILED, e.getMessage());
            return null;
        } finally {
            deleteQuietly(requestFile);
            deleteQuietly(responseFile(token));
        }
    }

    private static void deleteQuietly(Path file) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            // harmless: its token is never requested again
        }
    }

    /**
     * Called by the serving process: if there is a request that has not been handled yet, passes its token to {@code onRequest}, which
     * must call {@link #respond}.
     */
    void poll(Consumer<String> onRequest) {
        try {
            if (Files.exists(requestFile)) {
                String token = Files.readString(requestFile);
                // the token becomes part of a file name, so only the form of a UUID is accepted
                if (!token.equals(handledToken) && token.matches("[0-9a-f-]{36}")) {
                    handledToken = token;
                    onRequest.accept(token);
                }
            }
        } catch (IOException e) {
            // the request was withdrawn or cannot be read: the successor starts without inherited state
        }
    }

    /** Called by the serving process: writes the response for a token. */
    void respond(String token, LearnedState learned) {
        Path temporary = responseFile(token + ".new");
        try {
            Files.write(temporary, StateFile.encode(indexMapping.toContent(learned)), StandardOpenOption.CREATE_NEW);
            Files.move(temporary, responseFile(token), StandardCopyOption.ATOMIC_MOVE);
            EventLog.log(LogEvent.HAND_OVER_SENT, learned.workers().size(), learned.buckets().size());
        } catch (IOException e) {
            EventLog.log(LogEvent.HAND_OVER_FAILED, e.toString());
            deleteQuietly(temporary);
        }
    }
}
