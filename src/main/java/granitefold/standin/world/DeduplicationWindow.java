package granitefold.standin.world;

import java.util.HashMap;
import java.util.Map;

/**
 * The keys of jobs that ran lately, for a group of cocineros that drop each other's repeats. A job that was lost leaves
 * no mark: whoever sends it again starts it over.
 */
public final class DeduplicationWindow {
    /** What a job with a key finds. */
    public enum Found { NEW, RUNNING, DONE }

    private record Mark(long atUs, boolean done, String result) { }

    private final long windowUs;
    private final Map<String, Mark> marks = new HashMap<>();

    public DeduplicationWindow(long windowUs) {
        this.windowUs = windowUs;
    }

    /** A job of this key is to start. */
    public synchronized Found begin(String key, long nowUs) {
        marks.values().removeIf(m -> m.done && nowUs - m.atUs >= windowUs);
        Mark m = marks.get(key);
        if (m == null) {
            marks.put(key, new Mark(nowUs, false, null));
            return Found.NEW;
        }
        return m.done ? Found.DONE : Found.RUNNING;
    }

    /** It is done. */
    public synchronized void done(String key, String result, long nowUs) {
        marks.put(key, new Mark(nowUs, true, result));
    }

    /** It was lost, or stopped. */
    public synchronized void lost(String key) {
        Mark m = marks.get(key);
        if (m != null && !m.done) {
            marks.remove(key);
        }
    }

    /** What it came to, or null where that is not known. */
    public synchronized String result(String key) {
        Mark m = marks.get(key);
        return m == null ? null : m.result;
    }
}
