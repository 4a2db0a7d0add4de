package granitefold.state;

import granitefold.state.StateFile.Content;
import granitefold.state.StateFile.Fault;
import granitefold.state.StateFile.UnreadableFileException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Generations of one state file in a folder. A new one is written under a name for a moment, forced, and takes its
 * place by renames, the folder forced after each; so at every moment at least one whole generation has a name that is
 * read. A file of another program or a newer version is never written over: it is set aside first.
 */
public final class StateStore {
    static final String NAME = "learned.state", NEW = "learned.new", ASIDE = "learned.aside";

    private final Storage disk;
    private final int keep;
    private boolean looked;

    /** {@code keep}: generations, the present one counted; at least 2. */
    public StateStore(Storage disk, int keep) {
        this.disk = disk;
        this.keep = Math.max(2, keep);
    }

    /** What was found, null if nothing can be used, and what was wrong with newer ones. */
    public record LoadResult(Content content, List<String> problems) { }

    static String generation(int n) {
        return n == 0 ? NAME : NAME + "." + n;
    }

    /** The newest generation that is whole. */
    public LoadResult load() {
        List<String> problems = new ArrayList<>();
        looked = true;
        for (int n = 0; n < keep; n++) {
            String name = generation(n);
            try {
                byte[] file = disk.read(name, StateFile.MAX_LENGTH_BYTES);
                if (file != null) {
                    return new LoadResult(StateFile.decode(file), problems);
                }
            } catch (UnreadableFileException e) {
                problems.add(name + ": " + e.getMessage());
                if (e.fault() != Fault.DAMAGED) {
                    aside(name, problems);
                }
            } catch (IOException e) {
                problems.add(name + ": " + e.getMessage());
            }
        }
        return new LoadResult(null, problems);
    }

    private void aside(String name, List<String> problems) {
        try {
            disk.rename(name, ASIDE);
            disk.forceDirectory();
        } catch (IOException e) {
            // then nothing is written at all, since that would take its place
            problems.add(name + ": cannot be set aside: " + e.getMessage());
            looked = false;
        }
    }

    /** Writes another generation, whole or not at all. */
    public void save(Content content) throws IOException {
        if (!looked) {
            throw new IOException("the folder holds a file that must not be written over");
        }
        disk.write(NEW, StateFile.encode(content));
        disk.force(NEW);
        for (int n = keep - 2; n >= 0; n--) {
            if (exists(generation(n))) {
                disk.rename(generation(n), generation(n + 1));
            }
        }
        disk.rename(NEW, NAME);
        disk.forceDirectory();
    }

    private boolean exists(String name) throws IOException {
        return disk.read(name, StateFile.MAX_LENGTH_BYTES) != null;
    }
}
