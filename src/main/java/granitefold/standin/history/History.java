package granitefold.standin.history;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Records the entries of one test run; thread-safe. */
public final class History {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Queue<Entry> entries = new ConcurrentLinkedQueue<>();
    private final long startedNs = System.nanoTime();

    /** Returns the time of the test bed's clock, in microseconds since its start. */
    public long now() {
        return at(System.nanoTime());
    }

    /** Converts a time of {@link System#nanoTime} to that clock. */
    public long at(long nanoTime) {
        return (nanoTime - startedNs) / 1000;
    }

    public void add(Entry e) {
        entries.add(e);
    }

    /** Records an event of a process or an edge at the current time. */
    public void add(Entry.What what, String who, String text) {
        add(Entry.of(now(), what, who, text));
    }

    /** Returns all entries in the order of time. */
    public List<Entry> sorted() {
        List<Entry> all = new ArrayList<>(entries);
        all.sort(Comparator.comparingLong(Entry::atUs));
        return all;
    }

    /** Writes the entries as JSON, one per line. */
    public static void write(List<Entry> entries, Path file) throws IOException {
        try (Writer w = Files.newBufferedWriter(file)) {
            for (Entry e : entries) {
                w.write(JSON.writeValueAsString(e));
                w.write('\n');
            }
        }
    }

    /** Reads a file that {@link #write} has written. */
    public static List<Entry> read(Path file) throws IOException {
        List<Entry> all = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            all.add(JSON.readValue(line, Entry.class));
        }
        return all;
    }
}
