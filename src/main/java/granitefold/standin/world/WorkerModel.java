package granitefold.standin.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a cocinero does with jobs: pure, on a clock in microseconds that is handed in. Jobs are started in the order of
 * their coming; the first one waits until it fits. What one takes is settled when it starts.
 */
public final class WorkerModel {
    /** Chance beside what the rule allows of all dispatchers together: of N requests, twice their spread and two more. */
    private static final double SPREADS = 2, MORE = 2;

    /** Where a job stands. */
    public enum State { QUEUED, RUNNING, DONE, GONE }

    /** A job here. */
    public static final class Ticket {
        private final int slots;
        private final long workUs;
        private final String key;
        private State state = State.QUEUED;
        private long endsAtUs;

        private Ticket(int slots, long workUs, String key) {
            this.slots = slots;
            this.workUs = workUs;
            this.key = key;
        }

        public State state() {
            return state;
        }

        /** When it is done, once it runs; in microseconds. */
        public long endsAtUs() {
            return endsAtUs;
        }
    }

    private record Sent(long atUs, double jobs) { }

    private final WorkerSpec spec;
    private final long startedAtUs;
    private final Deque<Ticket> queue = new ArrayDeque<>();
    private final List<Ticket> running = new ArrayList<>();
    private final Map<String, Boolean> kept = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<Sent> lately = new ArrayDeque<>();
    private double slowdown = 1;
    private boolean fallen;

    /** One that started then; {@link Long#MIN_VALUE}: long ago. */
    public WorkerModel(WorkerSpec spec, long startedAtUs) {
        this.spec = spec;
        this.startedAtUs = startedAtUs;
    }

    /** From now on jobs that start take so many times as long. */
    public void slowdown(double factor) {
        slowdown = factor;
    }

    /** It was sent too much while it was cold, and does nothing any more. */
    public boolean fallen() {
        return fallen;
    }

    /** Share of its speed that it has by its age. */
    public double warmth(long nowUs) {
        if (startedAtUs == Long.MIN_VALUE || nowUs - startedAtUs >= spec.slowStartUs()) {
            return 1;
        }
        return spec.slowStartFrom() + (1 - spec.slowStartFrom()) * Math.max(0, nowUs - startedAtUs) / spec.slowStartUs();
    }

    /** Takes a job in, or null where there is no room, or it falls over. */
    public Ticket offer(int slots, long workUs, String key, long nowUs) {
        advance(nowUs);
        if (fallen) {
            return null;
        }
        weigh(workUs, nowUs);
        if (fallen || slots > spec.slots() || queue.size() >= spec.queueLimit()) {
            return null;
        }
        Ticket t = new Ticket(slots, workUs, key);
        queue.add(t);
        advance(nowUs);
        return t;
    }

    private void weigh(long workUs, long nowUs) {
        lately.add(new Sent(nowUs, workUs / spec.meanWorkUs()));
        while (lately.peek().atUs() <= nowUs - spec.overloadWindowUs()) {
            lately.remove();
        }
        if (warmth(nowUs) < 1) {
            double allowed = spec.overloadMultiple() * spec.slots() * spec.speed() * warmth(nowUs) * spec.overloadWindowUs() / spec.meanWorkUs();
            double sent = lately.stream().mapToDouble(Sent::jobs).sum();
            if (sent > allowed + SPREADS * Math.sqrt(allowed) + MORE) {
                fallen = true;
                running.forEach(t -> t.state = State.GONE);
                queue.forEach(t -> t.state = State.GONE);
                running.clear();
                queue.clear();
            }
        }
    }

    /** The dispatcher no longer waits: a job that has not started is dropped, one that runs is stopped. */
    public void cancel(Ticket t, long nowUs) {
        if (t.state == State.QUEUED || t.state == State.RUNNING) {
            t.state = State.GONE;
            queue.remove(t);
            running.remove(t);
        }
        advance(nowUs);
    }

    /** Takes note of what has ended, and starts what fits. */
    public void advance(long nowUs) {
        for (Iterator<Ticket> i = running.iterator(); i.hasNext();) {
            Ticket t = i.next();
            if (t.endsAtUs <= nowUs) {
                t.state = State.DONE;
                i.remove();
            }
        }
        int free = spec.slots() - running.stream().mapToInt(t -> t.slots).sum();
        while (!queue.isEmpty() && queue.peek().slots <= free) {
            Ticket t = queue.remove();
            free -= t.slots;
            t.state = State.RUNNING;
            t.endsAtUs = nowUs + (long) (t.workUs * slowdown / (spec.speed() * warmth(nowUs))) + fetch(t.key);
            running.add(t);
        }
    }

    private long fetch(String key) {
        if (spec.cachedKeys() == 0 || key == null) {
            return 0;
        }
        boolean here = kept.put(key, true) != null;
        if (kept.size() > spec.cachedKeys()) {
            kept.remove(kept.keySet().iterator().next());
        }
        return here ? 0 : spec.fetchUs();
    }

    /** When the next job here is done, or {@link Long#MAX_VALUE}. */
    public long nextEndUs() {
        return running.stream().mapToLong(t -> t.endsAtUs).min().orElse(Long.MAX_VALUE);
    }

    public int waiting() {
        return queue.size();
    }
}
