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

/** All entries of one play, from any thread. */
public final class History {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Queue<Entry> entries = new ConcurrentLinkedQueue<>();
    private final long startedNs = System.nanoTime();

    /** The ground's clock, in microseconds since it began. */
    public long now() {
        return at(System.nanoTime());
    }

    /** What {@link System#nanoTime} is on that clock. */
    public long at(long nanoTime) {
        return (nanoTime - startedNs) / 1000;
    }

    public void add(Entry e) {
        entries.add(e);
    }

    /** Something of a process or an edge, now. */
    public void add(Entry.What what, String who, String text) {
        add(Entry.of(now(), what, who, text));
    }

    /** In the order of their times. */
    public List<Entry> sorted() {
        List<Entry> all = new ArrayList<>(entries);
        all.sort(Comparator.comparingLong(Entry::atUs));
        return all;
    }

    /** Writes entries, one a line. */
    public static void write(List<Entry> entries, Path file) throws IOException {
        try (Writer w = Files.newBufferedWriter(file)) {
            for (Entry e : entries) {
                w.write(JSON.writeValueAsString(e));
                w.write('\n');
            }
        }
    }

    /** Reads what was written. */
    public static List<Entry> read(Path file) throws IOException {
        List<Entry> all = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            all.add(JSON.readValue(line, Entry.class));
        }
        return all;
    }
}
