package granitefold.state;

import granitefold.state.StateFile.Content;
import granitefold.state.StateFile.Fault;
import granitefold.state.StateFile.UnreadableFileException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Stores generations of one state file in a directory. A new generation is written under a temporary name, forced to the
 * disk and put in place by renames, and then the directory is forced; so at every moment at least one complete generation
 * has a name that is read. A file of another program or of a newer version is never overwritten, but set aside first.
 */
public final class StateStore {
    static final String CURRENT = "learned.state", NEW = "learned.new", SET_ASIDE = "learned.aside";

    private final Storage storage;
    private final int generations;
    private boolean safeToWrite;

    /** Creates a store of at least 2 {@code generations}, including the current one. */
    public StateStore(Storage storage, int generations) {
        this.storage = storage;
        this.generations = Math.max(2, generations);
    }

    /** The loaded content, null if there is none, and the problems of newer generations. */
    public record LoadResult(Content content, List<String> problems) { }

    static String generationName(int generation) {
        return generation == 0 ? CURRENT : CURRENT + "." + generation;
    }

    /** Loads the newest generation that is complete. */
    public LoadResult load() {
        List<String> problems = new ArrayList<>();
        safeToWrite = true;
        for (int generation = 0; generation < generations; generation++) {
            String name = generationName(generation);
            try {
                byte[] file = storage.read(name, StateFile.MAX_LENGTH_BYTES);
                if (file != null) {
                    return new LoadResult(StateFile.decode(file), problems);
                }
            } catch (UnreadableFileException e) {
                problems.add(name + ": " + e.getMessage());
                if (e.fault() != Fault.DAMAGED) {
                    setAside(name, problems);
                }
            } catch (IOException e) {
                problems.add(name + ": " + e.getMessage());
            }
        }
        return new LoadResult(null, problems);
    }

    private void setAside(String name, List<String> problems) {
        try {
            storage.rename(name, SET_ASIDE);
            storage.forceDirectory();
        } catch (IOException e) {
            // Write nothing from now on, because a write would replace this file.
            problems.add(name + ": cannot be set aside: " + e.getMessage());
            safeToWrite = false;
        }
    }

    /** Writes a new generation, completely or not at all. */
    public void save(Content content) throws IOException {
        if (!safeToWrite) {
            throw new IOException("the directory holds a file that must not be overwritten");
        }
        storage.write(NEW, StateFile.encode(content));
        storage.force(NEW);
        for (int generation = generations - 2; generation >= 0; generation--) {
            if (exists(generationName(generation))) {
                storage.rename(generationName(generation), generationName(generation + 1));
            }
        }
        storage.rename(NEW, CURRENT);
        storage.forceDirectory();
    }

    private boolean exists(String name) throws IOException {
        return storage.read(name, StateFile.MAX_LENGTH_BYTES) != null;
    }
}
