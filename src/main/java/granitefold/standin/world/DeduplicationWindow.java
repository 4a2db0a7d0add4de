package granitefold.standin.world;

import java.util.HashMap;
import java.util.Map;

/**
 * The idempotency keys of recent jobs, shared by a group of workers that drop each other's duplicates. A lost job leaves no
 * entry, so that sending it again runs it.
 */
public final class DeduplicationWindow {
    /** The state of a key. */
    public enum KeyState { NEW, RUNNING, DONE }

    private record KeyEntry(long atUs, boolean done, String result) { }

    private final long windowUs;
    private final Map<String, KeyEntry> entries = new HashMap<>();

    public DeduplicationWindow(long windowUs) {
        this.windowUs = windowUs;
    }

    /** Registers the start of a job and returns the state of its key before. */
    public synchronized KeyState begin(String key, long nowUs) {
        entries.values().removeIf(e -> e.done && nowUs - e.atUs >= windowUs);
        KeyEntry entry = entries.get(key);
        if (entry == null) {
            entries.put(key, new KeyEntry(nowUs, false, null));
            return KeyState.NEW;
        }
        return entry.done ? KeyState.DONE : KeyState.RUNNING;
    }

    /** Records the result of a completed job. */
    public synchronized void done(String key, String result, long nowUs) {
        entries.put(key, new KeyEntry(nowUs, true, result));
    }

    /** Frees the key of a job that was lost or cancelled. */
    public synchronized void release(String key) {
        KeyEntry entry = entries.get(key);
        if (entry != null && !entry.done) {
            entries.remove(key);
        }
    }

    /** Returns the result of a completed job, or null where none is recorded. */
    public synchronized String result(String key) {
        KeyEntry entry = entries.get(key);
        return entry == null ? null : entry.result;
    }
}
