package granitefold.policy;

import granitefold.Dispatcher;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** A worker as a dispatcher knows it: data only, what it means is judged in {@link DispatchPolicy}. */
final class Node {
    /** Keys remembered of each worker: more than one keeps. */
    private static final int KEYS = 64;

    final long id;
    double size;
    Dispatcher.State state;
    long startedAt;
    int zone;
    int cell;
    int kind;

    /** Attempts of ours that are out, oldest first. */
    final List<Attempt> out = new ArrayList<>(4);
    /** Connections there as far as we know: the most attempts that were out at once. */
    int connections;
    final Speed speed = new Speed(Waits.NODE_MEMORY);
    /** Keys of the jobs sent there, the last one first. */
    private final List<Long> keys = new ArrayList<>();
    /** Most slots seen free or busy at once; 0 while unknown. */
    int slots;
    /** Sends while it was cold: time and work. */
    final ArrayDeque<double[]> coldSends = new ArrayDeque<>(2);

    /** Refusals in a row, the last of them, and until when it is passed over for them. */
    int refusals;
    long refusedAt;
    long fullUntil;
    /** Last sign of life in an answer or a note, and whether a sign is overdue. */
    long heardAt;
    boolean quiet;
    /** Last failed connection: it may have restarted since, which the list tells late or never. */
    long lostAt;

    /** Whether siblings were told of work of ours there, and until when that counts; siblings' words on theirs. */
    boolean told;
    long toldUntil;
    double toldWork;
    final List<Word> words = new ArrayList<>(4);

    /** Our subset holds it; the other dispatchers whose subset does; our place among its owners. */
    boolean mine;
    final List<Integer> sharers = new ArrayList<>();
    int rank = -1;
    long order;

    /** The wait there for the job last surveyed: by what is known of jobs there, and as it is expected. */
    double counted;
    double wait;
    /** The wait there for one slot: how long the queue is, whatever the job. */
    double queue;

    /** A sibling's word on its work: jobs, the time each takes, when they start, how long it counts. */
    record Word(int from, int jobs, double each, long startsAt, long until) { }

    Node(long id) {
        this.id = id;
    }

    /** A hash that all dispatchers compute alike. */
    static long mix(long id, long with) {
        long z = (id + 1) * 0x9E3779B97F4A7C15L ^ (with + 1) * 0xD1B54A32D192ED03L;
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }

    /** Takes over what the list says. */
    void update(Dispatcher.Worker w) {
        size = w.size() > 0 && w.size() < 1e9 ? w.size() : 1;
        state = w.state();
        startedAt = w.startedAtUs();
        zone = w.zone();
        cell = w.cell();
        kind = w.kind();
    }

    /** When it last started, as told or as a lost connection lets fear; 0 for long ago. */
    long youngestStart() {
        return Math.max(startedAt, lostAt);
    }

    /** How many other keys were sent there since this one; more than any if it never was. */
    int keysSince(long key) {
        int at = keys.indexOf(key);
        return at < 0 ? Integer.MAX_VALUE : at;
    }

    /** Keys of the jobs sent there, the last one first. */
    List<Long> keys() {
        return List.copyOf(keys);
    }

    /** Takes over the keys of a former life behind those of this one. */
    void restoreKeys(List<Long> former) {
        for (Long key : former) {
            if (keys.size() < KEYS && !keys.contains(key)) {
                keys.add(key);
            }
        }
    }

    /** A job with this key (0: none) was sent there. */
    void sentKey(long key) {
        if (key == 0) {
            return;
        }
        if (!keys.remove((Long) key) && keys.size() == KEYS) {
            keys.remove(KEYS - 1);
        }
        keys.add(0, key);
    }

    /** Slots that jobs of ours hold or wait for. */
    int held() {
        int n = 0;
        for (Attempt a : out) {
            n += a.job.slots;
        }
        return n;
    }

    /**
     * Slots that jobs of ours ran on together at a time that lies so far back that word of their ends would be here.
     * Counted as of now, a start would seem to come on top of the end that made room for it.
     */
    int running(long at) {
        int n = 0;
        for (Attempt a : out) {
            n += a.startedAt != 0 && a.startedAt <= at ? a.job.slots : 0;
        }
        return n;
    }
}
