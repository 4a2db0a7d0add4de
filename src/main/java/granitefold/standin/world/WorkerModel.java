package granitefold.standin.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * How a worker schedules jobs: a pure model on a clock in microseconds that is passed in. Jobs start in the order of their
 * arrival; the first one waits until enough slots are free. The duration of a job is fixed when it starts.
 */
public final class WorkerModel {
    /**
     * Allowance for random variation above the limit for all dispatchers together: for N jobs, two standard deviations
     * (of sqrt(N) each) and two jobs more.
     */
    private static final double ALLOWED_DEVIATIONS = 2, ALLOWED_EXTRA_JOBS = 2;

    /** The state of a job. */
    public enum State { QUEUED, RUNNING, DONE, DROPPED }

    /** A job that the worker has accepted. */
    public static final class Job {
        private final int slots;
        private final long workUs;
        private final String key;
        private State state = State.QUEUED;
        private long endsAtUs;

        private Job(int slots, long workUs, String key) {
            this.slots = slots;
            this.workUs = workUs;
            this.key = key;
        }

        public State state() {
            return state;
        }

        /** Returns when a running job will be done. */
        public long endsAtUs() {
            return endsAtUs;
        }
    }

    private record Arrival(long atUs, double jobs) { }

    private final WorkerSpec spec;
    private final long startedAtUs;
    private final Deque<Job> queue = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    /** Cached keys, the least recently used first. */
    private final Map<String, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<Arrival> recentArrivals = new ArrayDeque<>();
    private double slowdown = 1;
    private boolean crashed;

    /** Creates the model of a worker that started at the given time; {@link Long#MIN_VALUE}: its slow start is over. */
    public WorkerModel(WorkerSpec spec, long startedAtUs) {
        this.spec = spec;
        this.startedAtUs = startedAtUs;
    }

    /** Multiplies the duration of the jobs that start from now on. */
    public void slowdown(double factor) {
        slowdown = factor;
    }

    /** Whether the worker was overloaded in its slow start and has crashed. */
    public boolean crashed() {
        return crashed;
    }

    /** Returns the share of its full speed that the worker has reached; below 1 in its slow start. */
    public double speedShare(long nowUs) {
        if (startedAtUs == Long.MIN_VALUE || nowUs - startedAtUs >= spec.slowStartUs()) {
            return 1;
        }
        return spec.slowStartFrom() + (1 - spec.slowStartFrom()) * Math.max(0, nowUs - startedAtUs) / spec.slowStartUs();
    }

    /** Accepts a job; returns null where the queue is full or the worker crashes. */
    public Job offer(int slots, long workUs, String key, long nowUs) {
        advance(nowUs);
        if (crashed) {
            return null;
        }
        checkOverload(workUs, nowUs);
        if (crashed || slots > spec.slots() || queue.size() >= spec.queueLimit()) {
            return null;
        }
        Job job = new Job(slots, workUs, key);
        queue.add(job);
        advance(nowUs);
        return job;
    }

    private void checkOverload(long workUs, long nowUs) {
        recentArrivals.add(new Arrival(nowUs, workUs / spec.meanWorkUs()));
        while (recentArrivals.peek().atUs() <= nowUs - spec.overloadWindowUs()) {
            recentArrivals.remove();
        }
        if (speedShare(nowUs) < 1) {
            double allowed = spec.overloadMultiple() * spec.slots() * spec.speed() * speedShare(nowUs) * spec.overloadWindowUs()
                    / spec.meanWorkUs();
            double arrived = recentArrivals.stream().mapToDouble(Arrival::jobs).sum();
            if (arrived > allowed + ALLOWED_DEVIATIONS * Math.sqrt(allowed) + ALLOWED_EXTRA_JOBS) {
                crashed = true;
                running.forEach(job -> job.state = State.DROPPED);
                queue.forEach(job -> job.state = State.DROPPED);
                running.clear();
                queue.clear();
            }
        }
    }

    /** Drops a job that is queued or running, since its dispatcher no longer waits for it. */
    public void cancel(Job job, long nowUs) {
        if (job.state == State.QUEUED || job.state == State.RUNNING) {
            job.state = State.DROPPED;
            queue.remove(job);
            running.remove(job);
        }
        advance(nowUs);
    }

    /** Completes the jobs that are due, and starts queued jobs while slots are free. */
    public void advance(long nowUs) {
        for (Iterator<Job> i = running.iterator(); i.hasNext();) {
            Job job = i.next();
            if (job.endsAtUs <= nowUs) {
                job.state = State.DONE;
                i.remove();
            }
        }
        int freeSlots = spec.slots() - running.stream().mapToInt(job -> job.slots).sum();
        while (!queue.isEmpty() && queue.peek().slots <= freeSlots) {
            Job job = queue.remove();
            freeSlots -= job.slots;
            job.state = State.RUNNING;
            job.endsAtUs = nowUs + (long) (job.workUs * slowdown / (spec.speed() * speedShare(nowUs))) + fetchUs(job.key);
            running.add(job);
        }
    }

    /** Returns the time that a job needs to fetch the data of its key: 0 where it is cached. */
    private long fetchUs(String key) {
        if (spec.cachedKeys() == 0 || key == null) {
            return 0;
        }
        boolean cached = cache.put(key, true) != null;
        if (cache.size() > spec.cachedKeys()) {
            cache.remove(cache.keySet().iterator().next());
        }
        return cached ? 0 : spec.fetchUs();
    }

    /** Returns when the next running job will be done, or {@link Long#MAX_VALUE}. */
    public long nextEndUs() {
        return running.stream().mapToLong(job -> job.endsAtUs).min().orElse(Long.MAX_VALUE);
    }

    public int queued() {
        return queue.size();
    }
}
