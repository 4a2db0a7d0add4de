package granitefold.policy;

import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.Report;

/**
 * How long a job would wait and run at a worker: by what is counted there, by speeds, fetches and slots
 * learned, and by how late own jobs start for what siblings did not tell us.
 */
record Waits(Knowledge k, ColdBudget cold) {
    /** What a job's start moves the error of expected waits by. */
    static final double DRIFT_NEW = 0.2;
    /** What a job leaves of older ones in a worker's and in a kind's speed. */
    static final double NODE_MEMORY = 0.95, KIND_MEMORY = 0.99;
    /** A worker's speed leans on its kind's, and that on 1, with the weight of this many jobs. */
    static final double SPEED_PRIOR = 5;
    /** So many hints make what quotas tell of slots count, and so many jobs of a kind make it count half. */
    static final double SLOTS_PRIOR = 20;
    /** Most slots taken on the word of quotas, which may be absurd: each costs time in every estimate. */
    static final int SLOTS_PROMISED = 64;
    /** Notes and answers of one worker overtake each other by less than this. */
    static final long NOTE_US = 30_000;
    /** Share of its hint that a job which overran it is taken to have before it still. */
    static final double OVERRUN = 0.5;
    /** A fetch's time and the keys that a worker keeps, as first taken. */
    static final double FETCH_US = 300_000, KEPT = 6;
    /** What one job moves them by; a fetch's time more, up to a bound, where others see most fetches. */
    static final double FETCH_NEW = 0.03, FETCH_MOST = 0.1, KEPT_STEP = 0.1;

    /** How fast a core is: learned from the worker's jobs, leaning on its kind; less while it is cold. */
    double speed(Node n, long now) {
        Speed kind = k.kinds.get(n.kind);
        double like = kind == null ? 0 : kind.log(0, SPEED_PRIOR);
        return Math.exp(n.speed.log(like, SPEED_PRIOR)) * cold.warmth(n, now);
    }

    double run(Node n, Job job, long now) {
        return job.work / job.slots / speed(n, now) + fetch(n, job);
    }

    /** Time that a job waits in its slots for what it needs, where the worker is not taken to keep that. */
    double fetch(Node n, Job job) {
        return job.key == 0 || n.keysSince(job.key) < k.kept ? 0 : k.fetchTime;
    }

    /**
     * Slots seen there or on its kind, and at first what the fleet needs there to do what its quotas promise:
     * of hints, and of jobs that run together and so show slots, one of many users has that much fewer.
     */
    private int slotsOf(Node n) {
        Speed kind = k.kinds.get(n.kind);
        int users = 1 + n.sharers.size();
        double needed = cold.promised(n) * k.meanWork / 1e6
                * k.worksSeen / (k.worksSeen + SLOTS_PRIOR / users)
                / (1 + (kind == null ? 0 : kind.count) / SLOTS_PRIOR / users);
        return Math.max(Math.max(n.slots, (int) Math.ceil(Math.min(SLOTS_PROMISED, needed))),
                k.kindSlots.getOrDefault(n.kind, 1));
    }

    void slots(Node n, int seen) {
        if (seen > n.slots && seen < 10_000) {
            n.slots = seen;
            k.kindSlots.merge(n.kind, seen, Math::max);
        }
    }

    /**
     * Estimated queued work, as the time before a job of so many slots would start: what is there is laid on
     * the worker's slots: jobs of ours that run, others' by their word, ours that wait. Adding it up instead
     * would shun a worker with one heavy job and idle slots.
     */
    double waitOn(Node n, int slots, long now) {
        double speed = speed(n, now);
        k.lanes.clear(slotsOf(n));
        for (Attempt a : n.out) {
            if (begun(a, now) != 0) {
                k.lanes.lay(a.job.slots, left(a, speed, now));
            }
        }
        n.words.removeIf(w -> w.until() < now);
        for (Node.Word w : n.words) {
            double each = Math.max(w.each() - Math.max(0, now - w.startsAt()), OVERRUN * w.each());
            for (int i = w.jobs(); i > 0; i--) {
                k.lanes.lay(1, each);
            }
        }
        for (Attempt a : n.out) {
            if (begun(a, now) == 0) {
                k.lanes.lay(a.job.slots, left(a, speed, now));
            }
        }
        return k.lanes.free(slots);
    }

    /** How much longer than counted jobs lately waited; fades after a word's time, so that somebody tries. */
    double drift(long now) {
        return k.drift * faded(k.driftAt, now);
    }

    private static double faded(long at, long now) {
        double over = now - at - Gossip.WORD_US;
        return over <= 0 ? 1 : Math.pow(0.5, over / Gossip.WORD_US);
    }

    /** How much longer than counted a job of ours waited, or waits already: its silence says ever less. */
    static double late(Attempt a, long now) {
        double due = a.sentAt + a.counted;
        return a.startedAt != 0 ? a.startedAt - due : Math.max(0, now - due) * faded(a.dueAt, now);
    }

    /** How late it is tells of work there. Not so on a connection gone silent: one sent later has started. */
    static boolean tells(Attempt a) {
        return a.startedAt != 0 || !a.overtaken;
    }

    /** When an attempt began to run, as told or, where workers do not tell, as expected; 0 if it waits. */
    private long begun(Attempt a, long now) {
        return a.startedAt != 0 ? a.startedAt : !k.set.tellsStart() && a.startsAt <= now ? a.startsAt : 0;
    }

    /** Time that an attempt has still to run; one that overran its hint goes on for a while. */
    double left(Attempt a, double speed, long now) {
        long begun = begun(a, now);
        double all = a.job.work / a.job.slots / speed + a.fetch;
        return begun == 0 ? all : Math.max(all - Math.max(a.done * all, now - begun), OVERRUN * all);
    }

    /** What an ended attempt and its report tell of the worker. */
    void learn(Job job, Attempt a, Outcome outcome, Report report, long now) {
        Node n = a.node;
        if (outcome == Outcome.SERVED) {
            long began = a.startedAt != 0 ? a.startedAt : a.free && !k.set.tellsStart() ? a.sentAt : 0;
            if (began != 0 && now > began && cold.warmth(n, now) == 1) {
                double plain = job.work / job.slots / speed(n, now);
                double more = Math.max(0, now - began - plain);
                if (a.fetch == 0) {
                    double log = Math.log(job.work / job.slots / (now - began));
                    n.speed.add(log);
                    k.kinds.computeIfAbsent(n.kind, x -> new Speed(KIND_MEMORY)).add(log);
                } else {
                    double by = Math.min(FETCH_MOST, FETCH_NEW * (1 + n.sharers.size()));
                    k.fetchTime += by * (more - k.fetchTime);
                }
                boolean held = more < k.fetchTime / 2;
                if (a.keysSince != Integer.MAX_VALUE && plain < k.fetchTime
                        && held != (a.keysSince < k.kept)) {
                    k.kept += held ? KEPT_STEP : -KEPT_STEP;
                }
            }
        }
        if (report != null && report.freeSlots() >= 0) {
            k.freeTold = true;
            slots(n, (int) Math.round(report.freeSlots()));
        }
    }

    /** Time from an attempt's start to the next sign of it: a note of progress, or its end. */
    double nextSign(Attempt a, long now) {
        double run = run(a.node, a.job, now);
        return k.set.progressUs() > 0 ? Math.min(run, k.set.progressUs()) : run;
    }

    /** How much longer than counted a job waits at shared workers: by the starts and by what is out. */
    double unheard(long now) {
        // the last starts weigh in: of few that are out, one on a silent connection would tell for all
        double starts = faded(k.driftAt, now) / DRIFT_NEW, late = starts * drift(now), told = starts;
        for (Node n : k.near) {
            for (Attempt a : n.out) {
                if (tells(a) && (a.startedAt != 0 || now <= a.dueAt || a.sentAt > k.startSentAt)) {
                    late += late(a, now);
                    told++;
                }
            }
        }
        return Math.max(drift(now), late / Math.max(1, told));
    }

    /** A job of ours was heard to start. */
    void started(Attempt a, long now) {
        k.startSentAt = Math.max(k.startSentAt, a.sentAt);
        // a large one may be passed by small ones for a while
        a.node.out.stream().filter(o -> o.sentAt + NOTE_US < a.sentAt
                && (o.job.slots <= a.job.slots || now > o.dueAt)).forEach(o -> o.overtaken = true);
        k.drift = drift(now) + DRIFT_NEW * (late(a, now) - drift(now));
        k.driftAt = now;
        if (!k.freeTold) {
            slots(a.node, a.node.running(now - NOTE_US));
        }
    }
}
