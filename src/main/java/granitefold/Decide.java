package granitefold;

import granitefold.recovery.Learned;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;

/**
 * Every decision of a dispatcher. The interface (settings, events, actions) is {@link Dispatcher}, in
 * Dispatcher.java; why things are as they are is told in docs/DESIGN.md. Sections, in order: TUNABLES, STATE,
 * EVENTS, ADMISSION, PICK, WAIT, SUSPICION, SEND GATE, FINAL GATE, COLD BUDGET, LIST, GOSSIP, and Bucket.
 * Speed is the one other file that decides; Job, Attempt, Node, Lanes and PeerMessage hold data only.
 */
public final class Decide implements Dispatcher {

    // ---------------------------------------------------------------- TUNABLES
    /** A bucket holds this many seconds of its tenant's rate: bursts shorter than that pass untouched. */
    static final double BUCKET_S = 3;
    /** Buckets kept; the least lately used one goes first. */
    static final int MAX_BUCKETS = 4096;
    /** A refusing worker is passed over so long, twice as long for each in a row, at most so many times. */
    static final long FULL_US = 300_000, FULL_DOUBLINGS = 3;
    /** A suspect worker comes after all others: what that adds to its cost. */
    static final double SUSPECT_US = 1e12;
    /** Strain: estimated wait on every fitting worker past so many of the tightest class's allowance. */
    static final double STRAIN_WAITS = 1;
    /** A wait past this multiple of what the job's class allows for leaves no hope of being on time. */
    static final double HOPELESS_WAITS = 1.25;
    /** Gossip: the paper's interval. */
    static final long GOSSIP_US = 100_000;
    /** Gossip: bytes a request earns for relayed buckets, and the most saved up. */
    static final double BYTES_RELAY = 32, BYTES_SAVED = 5_000;
    /** A word on a peer's work counts for so many times the time it takes to do, and so much longer. */
    static final double WORD_TIMES = 3, WORD_US = 1_000_000;
    /** Subset: dispatchers that share a worker (in most fleets all), and workers of each at the least. */
    static final double SHARERS = 16, SUBSET_LEAST = 6;
    /** What a job's start moves the error of expected waits by. */
    static final double DRIFT_NEW = 0.2;
    /** A held request is looked at again after this long. */
    static final long HOLD_US = 40_000;
    /** The last this much of a client's time is kept for the final answer, besides two ticks. */
    static final long ANSWER_US = 5_000;
    /** First and longest pause before asking for the list again after a failed call. */
    static final long ASK_FIRST_US = 200_000, ASK_MOST_US = 3_000_000;
    /** Share of the cold budget used: hints are rough, and one more may think itself an owner. */
    static final double COLD_SAFETY = 0.5;
    /** Hints are held within these bounds (microseconds of work); a job's before any hint was seen. */
    static final double WORK_LEAST = 1_000, WORK_MOST = 600e6, WORK_UNKNOWN = 1e6;
    /** The mean of hints follows the last so many jobs. */
    static final double MEAN_JOBS = 100;
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
    /** Estimates are off, and others pick at the same moment: costs are drawn up to this share higher. */
    static final double SPREAD = 0.1;
    /** What a crossing of zones delays a job by, and what a price of one mean job's worth counts for. */
    static final double CROSSING_US = 5_000, PRICE_US = 2e6;
    /** A worker is silent when a sign of a job is overdue by this much and so many times its due time. */
    static final double SILENT_US = 700_000, SILENT_TIMES = 2;
    /** Where more than this share of the workers is silent, it is load and not they, and none counts. */
    static final double QUIET_MOST = 0.5;
    /** Share of its hint that a job which overran it is taken to have before it still. */
    static final double OVERRUN = 0.5;

    /** A fetch's time and the keys that a worker keeps, as first taken. */
    static final double FETCH_US = 300_000, KEPT = 6;
    /** What one job moves them by; a fetch's time more, up to a bound, where others see most fetches. */
    static final double FETCH_NEW = 0.03, FETCH_MOST = 0.1, KEPT_STEP = 0.1;

    // ---------------------------------------------------------------- STATE
    private static final long TIMER_GOSSIP = 1, TIMER_ASK = 2, TIMER_JOB = 3;
    private static final int MESSAGE_LEAST = 40;

    private final Settings set;
    private final Actions out;
    private final SplittableRandom random;
    final Map<Long, Node> nodes = new LinkedHashMap<>();
    private final Map<Long, Job> jobs = new HashMap<>();
    final LinkedHashMap<Integer, Bucket> buckets = new LinkedHashMap<>(16, 0.75f, true);
    private final double fleetRate;
    private final long tightest;
    /** The wait that a mean job of each class can bear and still be on time. */
    private final double[] slack;
    private final int siblings;
    private final Lanes lanes = new Lanes();
    final Map<Integer, Speed> kinds = new HashMap<>();
    final Map<Integer, Integer> kindSlots = new HashMap<>();
    double meanWork;
    long worksSeen;
    private double mostSize;
    private long listKey;
    /** Workers of our subset and cold ones; of them and a spill's, those that the job in hand may go to. */
    private List<Node> near = List.of();
    final List<Node> reach = new ArrayList<>();
    private double meanWait;
    private long gossipAt;
    private final Words words = new Words();
    private boolean freeTold;
    private double bytesRelay;
    double fetchTime = FETCH_US, kept = KEPT;
    private double drift;
    private long driftAt;
    /** When the latest sent of the jobs that have started was sent. */
    private long startSentAt;
    private long askPause = ASK_FIRST_US;
    private boolean relieved;

    /** A fresh instance, which knows nothing yet; the seed is its only source of chance. */
    public Decide(Settings settings, long seed, Actions actions) {
        set = settings;
        out = actions;
        random = new SplittableRandom(seed);
        siblings = Math.max(1, set.siblings());
        double quota = set.tenants().stream().mapToDouble(t -> Math.max(0, t.quotaPerS())).sum();
        double share = set.tenants().stream().mapToDouble(t -> Math.max(0, t.share())).sum();
        tightest = set.classes().stream().mapToLong(JobClass::onTimeUs).min().orElse(0);
        slack = set.classes().stream().mapToDouble(JobClass::onTimeUs).toArray();
        fleetRate = share > 0 ? quota / share : quota;
    }

    // ---------------------------------------------------------------- EVENTS
    @Override
    public void start(long now) {
        if (set.mustAsk()) {
            out.watch();
        }
    }

    @Override
    public void requested(long now, Request r) {
        Job job = new Job(r, now, weigh(r));
        Bucket b = bucket(r.tenant(), now);
        survey(job, now);
        boolean strained = strained(job, now), told = strained || r.workUs() > 0;
        if (told && hopeless(job, now) || strained && b != null && b.available() < 1) {
            out.refuse(r.id(), retryAfter(b));
            return;
        }
        if (b != null) {
            b.use(set.me(), 1);
        }
        words.earn();
        bytesRelay = Math.min(BYTES_SAVED, bytesRelay + BYTES_RELAY);
        gossipSoon(now);
        jobs.put(r.id(), job);
        place(job, now);
    }

    @Override
    public void started(long now, long request, int attempt) {
        Attempt a = attempt(request, attempt);
        if (a != null && a.startedAt == 0) {
            a.startedAt = Math.max(1, now);
            a.node.heardAt = now;
            expect(a, nextSign(a, now), now);
            startSentAt = Math.max(startSentAt, a.sentAt);
            // a large one may be passed by small ones for a while
            a.node.out.stream().filter(o -> o.sentAt + NOTE_US < a.sentAt
                    && (o.job.slots <= a.job.slots || now > o.dueAt)).forEach(o -> o.overtaken = true);
            drift = drift(now) + DRIFT_NEW * (late(a, now) - drift(now));
            driftAt = now;
            if (!freeTold) {
                slots(a.node, a.node.running(now - NOTE_US));
            }
        }
    }

    @Override
    public void progressed(long now, long request, int attempt, double share) {
        Attempt a = attempt(request, attempt);
        if (a != null && share >= 0 && share <= 1) {
            if (a.startedAt == 0) {
                a.startedAt = Math.max(a.sentAt, now - set.progressUs());
            }
            a.done = share;
            a.node.heardAt = now;
            expect(a, set.progressUs(), now);
        }
    }

    @Override
    public void ended(long now, long request, int attempt, boolean over, Outcome outcome, Report report) {
        Job job = jobs.get(request);
        Attempt a = attempt(request, attempt);
        if (a == null || a.outcome != null) {
            return;
        }
        a.outcome = outcome;
        job.open--;
        a.node.out.remove(a);
        if (outcome != Outcome.TIMED_OUT && outcome != Outcome.CANCELLED && outcome != Outcome.MOOT) {
            a.node.heardAt = now;
        }
        learn(job, a, outcome, report, now);
        refused(a.node, a, now);
        tell(a.node, -1, now);
        job.over |= over;
        if (job.over) {
            forget(job);
        } else if (job.open == 0) {
            survey(job, now);
            place(job, now);
        }
    }

    @Override
    public void expired(long now, long request) {
        Job job = jobs.get(request);
        if (job != null) {
            job.over = true;
            forget(job);
        }
    }

    @Override
    public void elapsed(long now, long token) {
        if (token == TIMER_GOSSIP) {
            gossip(now);
        } else if (token == TIMER_ASK) {
            out.watch();
        } else if (token % 4 == TIMER_JOB) {
            Job job = jobs.get(token / 4);
            if (job != null && !job.over && job.open == 0) {
                survey(job, now);
                place(job, now);
            }
        }
    }

    @Override
    public Pressure pressure(long now) {
        int ready = 0, full = 0;
        double least = Double.MAX_VALUE;
        for (Node n : nodes.values()) {
            if (n.state == State.READY) {
                ready++;
                full += n.fullUntil > now ? 1 : 0;
                least = Math.min(least, waitOn(n, 1, now));
            }
        }
        return new Pressure(ready, full, ready == 0 ? 0 : least, tightest);
    }

    int me() {
        return set.me();
    }

    @Override
    public Choice choice(long now) {
        List<Node> listed = nodes.values().stream().filter(n -> n.state != State.GONE).toList();
        return new Choice(listed.size(), (int) listed.stream()
                .filter(n -> n.state != State.READY || suspect(n, now)).count());
    }

    @Override
    public void relieved() {
        relieved = true;
    }

    private Attempt attempt(long request, int number) {
        Job job = jobs.get(request);
        return job == null || number < 0 || number >= job.attempts.size() ? null : job.attempts.get(number);
    }

    /** Nobody waits for the job any more; it is kept while attempts are out, for the work they stand for. */
    private void forget(Job job) {
        IntStream.range(0, set.limits().cancel() ? job.attempts.size() : 0)
                .filter(i -> job.attempts.get(i).outcome == null).forEach(i -> out.cancel(job.id, i));
        if (job.open == 0) {
            jobs.remove(job.id);
        }
    }

    // ---------------------------------------------------------------- ADMISSION
    /** The tenant's bucket, credited up to now; null where the site told no quota for it. */
    Bucket bucket(int tenant, long now) {
        if (tenant < 0 || tenant >= set.tenants().size() || !(fleetRate > 0)) {
            return null;
        }
        Bucket b = buckets.get(tenant);
        if (b == null) {
            double rate = fleetRate * Math.max(0, set.tenants().get(tenant).share());
            b = new Bucket(rate, Math.max(1, rate * BUCKET_S), siblings, now);
            buckets.put(tenant, b);
            if (buckets.size() > MAX_BUCKETS) {
                buckets.remove(buckets.keySet().iterator().next());
            }
        }
        b.refill(now);
        return b;
    }

    /** When the bucket will hold a whole token again, a second at the least. */
    private long retryAfter(Bucket b) {
        double s = b == null ? 1 : b.rate > 0 ? (1 - b.available()) / b.rate : Double.MAX_VALUE;
        return (long) Math.min(set.limits().maxRetryAfterUs(), Math.max(1, s) * 1e6);
    }

    /**
     * Estimates the wait for a job on each worker in reach, for strain, hope and pick: by what is counted
     * there, and how late our own jobs start for what siblings, cut off or too many, did not tell us. A cold
     * one whose budget is spent is not in reach: it stands idle, and would pass for room that nobody may use.
     */
    private void survey(Job job, long now) {
        reach.clear();
        double sum = 0;
        // the last starts weigh in: of few that are out, one on a silent connection would tell for all
        double starts = faded(driftAt, now) / DRIFT_NEW, late = starts * drift(now), told = starts;
        for (Node n : near) {
            for (Attempt a : n.out) {
                if (tells(a) && (a.startedAt != 0 || now <= a.dueAt || a.sentAt > startSentAt)) {
                    late += late(a, now);
                    told++;
                }
            }
        }
        double drift = Math.max(drift(now), late / Math.max(1, told));
        for (Node n : near) {
            if ((n.mine || isCold(n, now)) && takes(n, job) && coldAllows(job, n, now)) {
                n.counted = waitOn(n, job.slots, now);
                double more = n.sharers.isEmpty() ? 0
                        : Math.max(drift, n.out.stream()
                        .filter(Decide::tells).mapToDouble(a -> late(a, now)).max().orElse(0));
                n.wait = n.counted + more;
                n.queue = lanes.free(1) + more;
                sum += n.wait;
                reach.add(n);
            }
        }
        meanWait = sum / Math.max(1, reach.size());
        if (reach.isEmpty()) {
            spill(job, now);
        }
    }

    /** Brings the workers outside our subset into reach; nobody tells of them: its mean stands for them. */
    private void spill(Job job, long now) {
        for (Node n : nodes.values()) {
            if (takes(n, job) && coldAllows(job, n, now) && !reach.contains(n)) {
                n.wait = waitOn(n, job.slots, now) + meanWait;
                n.counted = n.wait - drift(now);
                n.queue = lanes.free(1) + meanWait;
                reach.add(n);
            }
        }
    }

    /** Most fitting ready workers lately said 'full', or the wait on all of them is past the bound. */
    private boolean strained(Job job, long now) {
        int full = 0, deep = 0;
        for (Node n : reach) {
            full += n.fullUntil > now ? 1 : 0;
            deep += n.wait > STRAIN_WAITS * tightest || suspect(n, now) ? 1 : 0;
        }
        return full * 2 > reach.size() || deep == reach.size();
    }

    /**
     * No fitting worker is expected to be done in time: before the client gives up, and by the class's aim
     * with some room for error. Late work, and above all work that nobody waits for, keeps an overload going
     * after its cause is over. Nor may a queue, the wait for one slot, be longer than a mean job of any class
     * bears: it is long enough if it keeps the slots busy, and makes tight jobs late. Harm: a wait misjudged.
     */
    private boolean hopeless(Job job, long now) {
        double allowed = allowed(job, now);
        double most = Math.max(tightest, HOPELESS_WAITS * DoubleStream.of(slack).min().orElse(allowed));
        // suspect workers draw nothing: their short queues are no room, unless all are suspect
        boolean any = reach.stream().anyMatch(n -> !suspect(n, now));
        return !reach.isEmpty() && reach.stream().noneMatch(n -> !(any && suspect(n, now)) && n.queue <= most
                && n.wait + run(n, job, now) <= allowed);
    }

    /** Time in which a job must be done to be of use: the client's, or its aim's with some room for error. */
    private double allowed(Job job, long now) {
        JobClass type = job.type(set);
        return Math.min(job.deadline - now, job.arrivedAt - now + HOPELESS_WAITS
                * (type.onTimeUs() + type.stretch() * job.work / job.slots));
    }

    /** Hinted work: size times slots, within sane bounds; a job without a hint counts as a mean one. */
    private double weigh(Request r) {
        int slots = Job.slots(r);
        if (!(r.workUs() > 0)) {
            return slots * (worksSeen > 0 ? meanWork : WORK_UNKNOWN);
        }
        double work = Math.min(WORK_MOST, Math.max(WORK_LEAST, r.workUs()));
        JobClass type = set.classes().get(r.jobClass());
        double bears = type.onTimeUs() + Math.max(0, type.stretch() - 1) * work;
        slack[r.jobClass()] += (bears - slack[r.jobClass()]) / MEAN_JOBS;
        work *= slots;
        worksSeen++;
        meanWork += (work - meanWork) / Math.min(worksSeen, MEAN_JOBS);
        return work;
    }

    // ---------------------------------------------------------------- PICK
    /**
     * Sends a surveyed job, holds it for a while, or ends it: the one place a job goes on from. What no
     * worker may take while it can still be of use is ended at once: its client can be told when to come
     * back.
     */
    private void place(Job job, long now) {
        Node n = timeLeft(job, now) > 0 ? pick(job, now) : null;
        if (n != null) {
            send(job, n, now);
        } else if (Math.min(allowed(job, now), timeLeft(job, now)) > HOLD_US && mayRepeat(job, null, now)
                && job.attempts.size() < set.limits().maxAttempts()) {
            out.timer(HOLD_US, job.id * 4 + TIMER_JOB);
        } else {
            finish(job, now);
        }
    }

    /**
     * The worker with the least hinted work of those the send gate lets through; lately full ones last, and
     * those outside our subset, of whose work nobody tells us, only where none within it is free of refusals.
     */
    private Node pick(Job job, long now) {
        if (reach.stream().noneMatch(n -> !suspect(n, now) && maySend(job, n, now))) {
            spill(job, now);
        }
        Node best = null;
        double least = Double.MAX_VALUE;
        for (Node n : reach) {
            double home = (Node.mix(n.id, job.key) >>> 11) * 0x1p-53;
            // a fetch takes room from other keys and time from other fetches: it costs more than its own time
            double cost = (n.wait + run(n, job, now)) * (1 + SPREAD * random.nextDouble()) + extras(n)
                    + (suspect(n, now) ? SUSPECT_US : 0) + fetch(n, job) * (1 + home);
            if (cost < least && maySend(job, n, now)) {
                best = n;
                least = cost;
            }
        }
        return best;
    }

    /** What a send costs beside the worker's time: a crossing of zones, a connection to be opened. */
    private double extras(Node n) {
        return (n.zone == set.zone() ? 0 : CROSSING_US + PRICE_US * set.prices().crossing())
                + (n.out.size() < n.connections ? 0 : PRICE_US * set.prices().handshake());
    }

    // ---------------------------------------------------------------- WAIT
    /** How fast a core is: learned from the worker's jobs, leaning on its kind; less while it is cold. */
    private double speed(Node n, long now) {
        Speed kind = kinds.get(n.kind);
        double like = kind == null ? 0 : kind.log(0, SPEED_PRIOR);
        return Math.exp(n.speed.log(like, SPEED_PRIOR)) * warmth(n, now);
    }

    private double run(Node n, Job job, long now) {
        return job.work / job.slots / speed(n, now) + fetch(n, job);
    }

    /** Time that a job waits in its slots for what it needs, where the worker is not taken to keep that. */
    private double fetch(Node n, Job job) {
        return job.key == 0 || n.keysSince(job.key) < kept ? 0 : fetchTime;
    }

    /**
     * Slots seen there or on its kind, and at first what the fleet needs there to do what its quotas promise:
     * of hints, and of jobs that run together and so show slots, one of many users has that much fewer.
     */
    private int slotsOf(Node n) {
        Speed kind = kinds.get(n.kind);
        int users = 1 + n.sharers.size();
        double needed = promised(n) * meanWork / 1e6 * worksSeen / (worksSeen + SLOTS_PRIOR / users)
                / (1 + (kind == null ? 0 : kind.weight()) / SLOTS_PRIOR / users);
        return Math.max(Math.max(n.slots, (int) Math.ceil(Math.min(SLOTS_PROMISED, needed))),
                kindSlots.getOrDefault(n.kind, 1));
    }

    /** Jobs a second that are a worker's part, by its size, of what quotas promise; 0 where none are told. */
    private double promised(Node n) {
        return fleetRate > 0 && mostSize > 0 ? fleetRate * n.size / mostSize : 0;
    }

    private void slots(Node n, int seen) {
        if (seen > n.slots && seen < 10_000) {
            n.slots = seen;
            kindSlots.merge(n.kind, seen, Math::max);
        }
    }

    /**
     * Estimated queued work, as the time before a job of so many slots would start: what is there is laid on
     * the worker's slots: jobs of ours that run, others' by their word, ours that wait. Adding it up instead
     * would shun a worker with one heavy job and idle slots.
     */
    private double waitOn(Node n, int slots, long now) {
        double speed = speed(n, now);
        lanes.clear(slotsOf(n));
        for (Attempt a : n.out) {
            if (begun(a, now) != 0) {
                lanes.lay(a.job.slots, left(a, speed, now));
            }
        }
        n.words.removeIf(w -> w.until() < now);
        for (Node.Word w : n.words) {
            double each = Math.max(w.each() - Math.max(0, now - w.startsAt()), OVERRUN * w.each());
            for (int k = w.jobs(); k > 0; k--) {
                lanes.lay(1, each);
            }
        }
        for (Attempt a : n.out) {
            if (begun(a, now) == 0) {
                lanes.lay(a.job.slots, left(a, speed, now));
            }
        }
        return lanes.free(slots);
    }

    /** How much longer than counted jobs lately waited; fades after a word's time, so that somebody tries. */
    private double drift(long now) {
        return drift * faded(driftAt, now);
    }

    private static double faded(long at, long now) {
        return Math.pow(0.5, Math.max(0, now - at - WORD_US) / WORD_US);
    }

    /** How much longer than counted a job of ours waited, or waits already: its silence says ever less. */
    private static double late(Attempt a, long now) {
        double due = a.sentAt + a.counted;
        return a.startedAt != 0 ? a.startedAt - due : Math.max(0, now - due) * faded(a.dueAt, now);
    }

    /** How late it is tells of work there. Not so on a connection gone silent: one sent later has started. */
    private static boolean tells(Attempt a) {
        return a.startedAt != 0 || !a.overtaken;
    }

    /** When an attempt began to run, as told or, where workers do not tell, as expected; 0 if it waits. */
    private long begun(Attempt a, long now) {
        return a.startedAt != 0 ? a.startedAt : !set.tellsStart() && a.startsAt <= now ? a.startsAt : 0;
    }

    /** Time that an attempt has still to run; one that overran its hint goes on for a while. */
    private double left(Attempt a, double speed, long now) {
        long begun = begun(a, now);
        double all = a.job.work / a.job.slots / speed + a.fetch;
        return begun == 0 ? all : Math.max(all - Math.max(a.done * all, now - begun), OVERRUN * all);
    }

    /** What an ended attempt and its report tell of the worker. */
    private void learn(Job job, Attempt a, Outcome outcome, Report report, long now) {
        Node n = a.node;
        if (outcome == Outcome.SERVED) {
            long began = a.startedAt != 0 ? a.startedAt : a.free && !set.tellsStart() ? a.sentAt : 0;
            if (began != 0 && now > began && warmth(n, now) == 1) {
                double plain = job.work / job.slots / speed(n, now);
                double more = Math.max(0, now - began - plain);
                if (a.fetch == 0) {
                    double log = Math.log(job.work / job.slots / (now - began));
                    n.speed.add(log);
                    kinds.computeIfAbsent(n.kind, k -> new Speed(KIND_MEMORY)).add(log);
                } else {
                    double by = Math.min(FETCH_MOST, FETCH_NEW * (1 + n.sharers.size()));
                    fetchTime += by * (more - fetchTime);
                }
                boolean held = more < fetchTime / 2;
                if (a.keysSince < Integer.MAX_VALUE && plain < fetchTime && held != (a.keysSince < kept)) {
                    kept += held ? KEPT_STEP : -KEPT_STEP;
                }
            }
        }
        if (report != null && report.freeSlots() >= 0) {
            freeTold = true;
            slots(n, (int) Math.round(report.freeSlots()));
        }
    }

    private void send(Job job, Node n, long now) {
        Attempt a = new Attempt(job, n, now, n.wait, fetch(n, job));
        expect(a, n.wait + (set.tellsStart() ? 0 : nextSign(a, now)), now);
        job.attempts.add(a);
        job.open++;
        n.out.add(a);
        n.sentKey(job.key);
        n.connections = Math.max(n.connections, n.out.size());
        if (isCold(n, now)) {
            n.coldSends.removeIf(s -> s[0] <= now - set.rules().fallUs());
            n.coldSends.addLast(new double[] {now, job.work});
        }
        out.send(job.id, n.id, 0);
        tell(n, job.tenant, now);
    }

    /** Notes when an attempt's next sign of life is overdue, told that it is expected after so long. */
    private void expect(Attempt a, double after, long now) {
        a.touchedAt = now;
        a.dueAt = now + (long) (SILENT_US + SILENT_TIMES * after);
    }

    /** Time from an attempt's start to the next sign of it: a note of progress, or its end. */
    private double nextSign(Attempt a, long now) {
        double run = run(a.node, a.job, now);
        return set.progressUs() > 0 ? Math.min(run, set.progressUs()) : run;
    }

    // ---------------------------------------------------------------- SUSPICION
    private static boolean suspect(Node n, long now) {
        return n.fullUntil > now || n.quiet;
    }

    /**
     * Jobs stuck on a worker that gives no sign get one copy elsewhere, where their effect allows and one has
     * room. Covers workers that hang, are cut off, stand still. Harm: a slow worker's jobs run twice.
     */
    private void rescue(long now) {
        int ready = 0, quiet = 0;
        for (Node n : nodes.values()) {
            n.quiet = !n.out.isEmpty()
                    && n.out.stream().anyMatch(a -> now > a.dueAt && n.heardAt <= a.touchedAt);
            ready += n.state == State.READY ? 1 : 0;
            quiet += n.state == State.READY && n.quiet ? 1 : 0;
        }
        for (Node n : nodes.values()) {
            n.quiet &= quiet <= QUIET_MOST * ready;
            for (int i = 0; n.quiet && i < n.out.size(); i++) {
                Job job = n.out.get(i).job;
                if (!job.over && job.open < 2) {
                    survey(job, now);
                    Node other = pick(job, now);
                    if (other != null && !other.quiet && other.wait <= tightest) {
                        send(job, other, now);
                    }
                }
            }
        }
    }

    /**
     * Counts refusals and errors in a row. They come at once and leave no work, so their worker would draw
     * every job. Covers dead workers still listed, full tables and queues. Harm: a recovery is found late.
     */
    private static void refused(Node n, Attempt a, long now) {
        boolean lived = a.outcome == Outcome.SERVED && a.sentAt < n.lostAt || !n.out.isEmpty();
        n.lostAt = lived ? 0 : a.outcome == Outcome.UNREACHABLE ? now : n.lostAt;
        if (a.outcome.neverRan() && a.outcome != Outcome.MOOT || a.outcome == Outcome.ERROR) {
            if (n.fullUntil <= now) {
                n.fullUntil = now + (FULL_US << (int) Math.min(n.refusals++, FULL_DOUBLINGS));
            }
            n.refusedAt = now;
        } else if (a.outcome == Outcome.SERVED && a.sentAt > n.refusedAt) {
            // older jobs say nothing: a draining worker serves them and refuses all else
            n.refusals = 0;
        }
    }

    // ---------------------------------------------------------------- SEND GATE
    /** The worker is listed as ready and of a kind that runs the job. */
    private boolean takes(Node n, Job job) {
        int only = job.type(set).kind();
        return n.state == State.READY && (only < 0 || only == n.kind);
    }

    /** The one gate for every send: drain, fit, attempts, time, effect and cold budget. */
    private boolean maySend(Job job, Node n, long now) {
        return takes(n, job) && timeLeft(job, now) > 0 && effectAllows(job, n, now)
                && coldAllows(job, n, now);
    }

    /** Whether the attempts so far leave room for another one on this worker. */
    private boolean effectAllows(Job job, Node n, long now) {
        return job.attempts.size() < Math.max(1, set.limits().maxAttempts())
                && (job.open == 0 || set.limits().secondCopies()) && mayRepeat(job, n, now + set.tickUs());
    }

    /** Whether another attempt may run on this worker (null: on any) beside those that may have run. */
    private boolean mayRepeat(Job job, Node n, long now) {
        JobClass type = job.type(set);
        return job.attempts.isEmpty() || type.effect() == Effect.SAFE
                || job.attempts.stream().noneMatch(a -> mayHaveRun(a)
                && (type.effect() == Effect.UNSAFE || now >= a.sentAt + type.keepUs()
                || n != null && (type.group() == Group.ZONE && n.zone != a.node.zone
                || type.group() == Group.CELL && n.cell != a.node.cell)));
    }

    /** Still out, or ended without proof that it never ran. */
    private static boolean mayHaveRun(Attempt a) {
        return a.outcome == null || !a.outcome.neverRan();
    }

    /** Time in which a send still makes sense: the client's, less what the final answer needs. */
    private long timeLeft(Job job, long now) {
        return job.deadline - ANSWER_US - 2 * set.tickUs() - now;
    }

    // ---------------------------------------------------------------- FINAL GATE
    /** The one gate for every final answer of a job taken in: refused where that is legal, else failed. */
    private void finish(Job job, long now) {
        JobClass type = job.type(set);
        if (type.effect() == Effect.SAFE || type.effect() == Effect.KEYED && type.group() == Group.ALL
                || job.attempts.stream().noneMatch(Decide::mayHaveRun)) {
            out.refuse(job.id, retryAfter(bucket(job.tenant, now)));
        } else {
            out.fail(job.id);
        }
        job.over = true;
        forget(job);
    }

    // ---------------------------------------------------------------- COLD BUDGET
    private boolean isCold(Node n, long now) {
        return youngestStart(n) != 0 && now - youngestStart(n) < set.rules().coldUs();
    }

    private static long youngestStart(Node n) {
        return Math.max(n.startedAt, n.lostAt);
    }

    /** Share of its capacity that a worker has by its age, at the least. */
    private double warmth(Node n, long now) {
        double from = set.rules().coldFrom();
        double age = Math.max(0, now - youngestStart(n));
        return isCold(n, now) ? from + (1 - from) * age / set.rules().coldUs() : 1;
    }

    /**
     * What a cold worker may be sent in any span, in mean jobs. The fleet does at least what its quotas
     * promise, so a worker's part by size errs to the low side; without quotas it counts as one core.
     */
    private double coldJobs(Node n, long now) {
        double perS = promised(n) > 0 ? promised(n) : 1e6 / meanWork;
        return COLD_SAFETY * set.rules().fallMultiple() * set.rules().fallUs() / 1e6 * perS * warmth(n, now);
    }

    double coldSent(Node n, long now) {
        return n.coldSends.stream().filter(s -> s[0] > now - set.rules().fallUs())
                .mapToDouble(s -> s[1]).sum();
    }

    /** We are an owner, and our part, with rejected sends counted, has room for the job. */
    private boolean coldAllows(Job job, Node n, long now) {
        if (!isCold(n, now)) {
            return true;
        }
        return owns(n, now) && job.work + coldSent(n, now) <= coldJobs(n, now) * meanWork / owners(n, now);
    }

    /**
     * Dispatchers that share a cold worker's budget: as many as get a mean job's worth each. Fewer than all
     * where there are many, since no job fits into a small part. Those of the least hash are the owners.
     */
    private int owners(Node n, long now) {
        return (int) Math.max(1, Math.min(siblings, coldJobs(n, now)));
    }

    private boolean owns(Node n, long now) {
        if (n.rank < 0) {
            long own = Node.mix(n.id, set.me());
            n.rank = (int) IntStream.range(0, siblings).filter(s -> Node.mix(n.id, s) < own).count();
        }
        return !relieved && n.rank < owners(n, now);
    }

    // ---------------------------------------------------------------- LIST
    @Override
    public void listed(long now, ListNews news, List<Worker> entries) {
        if (news == ListNews.FAILED) {
            // a dropped or failed subscription: ask anew, with growing pauses, or the old list turns stale
            long pause = askPause + random.nextLong(askPause);
            askPause = Math.min(ASK_MOST_US, askPause * 2);
            out.timer(Math.min(pause, Math.max(1, set.rules().askWithinUs() / 2)), TIMER_ASK);
            return;
        }
        if (news != ListNews.SAVED) {
            askPause = ASK_FIRST_US;
        }
        if (news != ListNews.CHANGES) {
            nodes.values().forEach(n -> n.state = State.GONE);
        }
        for (Worker w : entries) {
            nodes.computeIfAbsent(w.id(), Node::new).update(w);
        }
        nodes.values().removeIf(n -> n.state == State.GONE && n.out.isEmpty());
        List<Node> all = new ArrayList<>(nodes.values());
        all.removeIf(n -> n.state == State.GONE);
        mostSize = Math.max(mostSize, all.stream().mapToDouble(n -> n.size).sum());
        long key = all.stream().mapToLong(n -> Node.mix(n.id, 0)).sum();
        if (key != listKey) {
            listKey = key;
            subset(all);
        }
        near = all.stream().filter(n -> n.mine || isCold(n, now)).toList();
    }

    /**
     * Deterministic subsetting: each dispatcher in turn takes the next few workers of one shuffled order, and
     * of another when that is used up, so every worker is shared by as many. Few dispatchers share all. Keeps
     * connections few, and lets a word on queued work reach all whom it concerns. Harm: less choice.
     */
    private void subset(List<Node> all) {
        int count = all.size();
        int each = (int) Math.min(count, Math.max(SUBSET_LEAST, Math.ceil(SHARERS * count / siblings)));
        for (Node n : nodes.values()) {
            n.sharers.clear();
            n.mine = false;
        }
        for (int i = 0; i < siblings * each; i++) {
            int round = i / count;
            if (i % count == 0) {
                all.forEach(n -> n.order = Node.mix(n.id, ~round));
                all.sort(Comparator.comparingLong(n -> n.order));
            }
            Node n = all.get(i % count);
            if (i / each == set.me()) {
                n.mine = true;
            } else {
                n.sharers.add(i / each);
            }
        }
    }

    // ---------------------------------------------------------------- GOSSIP
    private void gossipSoon(long now) {
        if (gossipAt == 0) {
            gossipAt = now + GOSSIP_US;
            out.timer(GOSSIP_US, TIMER_GOSSIP);
        }
    }

    /** Tells what has become of our work at workers, and what changed in buckets to one peer at random. */
    private void gossip(long now) {
        if (now <= gossipAt + GOSSIP_US) {
            // else we stood still, what came meanwhile is still to be read, and silence means nothing
            rescue(now);
        }
        gossipAt = 0;
        words.tell(set.me(), -1, null, random, out);
        for (Node n : nodes.values()) {
            if (n.told && now > n.toldUntil) {
                tell(n, -1, now);
            }
            if (!n.out.isEmpty() || n.told) {
                gossipSoon(now);
            }
        }
        if (!set.limits().peers() || siblings < 2 || bytesRelay < MESSAGE_LEAST) {
            return;
        }
        byte[] m = PeerMessage.begin();
        int at = PeerMessage.MAGIC.length;
        int room = (int) Math.min(PeerMessage.MOST, bytesRelay) - PeerMessage.ENTRY_MOST;
        List<Map.Entry<Integer, Bucket>> busy = new ArrayList<>(buckets.entrySet());
        int first = random.nextInt(siblings);
        for (int i = busy.size() - 1; i >= 0; i--) {
            Bucket b = busy.get(i).getValue();
            for (int k = 0; k < siblings && at <= room; k++) {
                int owner = (first + k) % siblings;
                if (b.dirty[owner]) {
                    at = PeerMessage.putUse(m, at, busy.get(i).getKey(), owner, b.used[owner], b.credited);
                    b.dirty[owner] = false;
                }
            }
        }
        if (at > PeerMessage.MAGIC.length) {
            int peer = random.nextInt(siblings - 1);
            out.tell(peer < set.me() ? peer : peer + 1, PeerMessage.end(m, at));
            bytesRelay -= at + 1;
        }
    }

    /**
     * Tells those who share a worker what work of ours is there; for a send (of this tenant) at once, with
     * our use of its bucket. Not relayed: it is soon out of date.
     */
    private void tell(Node n, int tenant, long now) {
        int held = n.held();
        double speed = speed(n, now);
        double work = n.out.stream().mapToDouble(a -> left(a, speed, now) * speed * a.job.slots).sum();
        n.told = held > 0;
        n.toldUntil = now + (held > 0 ? life(work / held / speed, n.wait) : 0);
        if (set.limits().peers() && !n.sharers.isEmpty()) {
            words.due(n, work);
            gossipSoon(now);
        }
        Bucket b = bucket(tenant, now);
        if (tenant >= 0 && words.tell(set.me(), tenant, b, random, out) == siblings - 1 && b != null) {
            b.dirty[set.me()] = false;
        }
    }

    // ---------------------------------------------------------------- LEARNED
    @Override
    public Learned learned(long now) {
        return FormerLife.learned(this, now);
    }

    @Override
    public void restore(long now, Learned l) {
        FormerLife.restore(this, now, l);
    }

    /** How long a word counts on jobs that take so long after such a wait. */
    private static long life(double each, double wait) {
        return (long) (WORD_US + wait + WORD_TIMES * each);
    }

    @Override
    public void heard(long now, int from, byte[] m) {
        long[] e = from < 0 || from >= siblings || from == set.me() ? null
                : PeerMessage.read(m, set.tenants().size(), siblings);
        for (int i = 0; e != null && i < e.length; i += 4) {
            if (e[i] < 0) {
                Node n = nodes.get(e[i + 1]);
                if (n != null) {
                    told(n, from, e[i + 2] * PeerMessage.WORK_UNIT, (int) e[i + 3], now);
                }
                continue;
            }
            Bucket b = bucket((int) e[i], now);
            int owner = (int) e[i + 1];
            // a larger count of ours is of a former life: what was used since the restart comes on top
            boolean former = b != null && owner == set.me() && e[i + 2] > b.used[owner];
            if (b != null && b.merge(owner, e[i + 2] + (former ? b.sinceStart : 0), e[i + 3])) {
                gossipSoon(now);
            }
        }
    }

    /** Takes a peer's word on its work at a worker in place of the last. */
    private void told(Node n, int from, double work, int jobs, long now) {
        n.words.removeIf(w -> w.from() == from);
        if (jobs > 0) {
            double wait = waitOn(n, 1, now);
            double each = work / jobs / speed(n, now);
            n.words.add(new Node.Word(from, jobs, each, now + (long) wait, now + life(each, wait)));
        }
    }

    /** A grow-only token bucket that merges: each dispatcher's use in its own entry, and the credit. */
    static final class Bucket {
        final double rate;
        final double capacity;
        final long[] used;
        final boolean[] dirty;
        long sinceStart;
        long total;
        double credited;
        long refilledAt;

        Bucket(double rate, double capacity, int owners, long now) {
            this.rate = rate;
            this.capacity = capacity;
            used = new long[owners];
            dirty = new boolean[owners];
            credited = capacity;
            refilledAt = now;
        }

        void refill(long now) {
            double dt = Math.max(0, now - refilledAt) / 1e6;
            credited = Math.max(credited, Math.min(credited + rate * dt, total + capacity));
            refilledAt = Math.max(refilledAt, now);
        }

        double available() {
            return credited - total;
        }

        void use(int owner, int tokens) {
            sinceStart += tokens;
            raise(owner, used[owner] + tokens);
        }

        /** Takes the larger count and credit; tells whether a count grew. */
        boolean merge(int owner, long count, double credit) {
            credited = Math.max(credited, credit);
            return count > used[owner] && raise(owner, count);
        }

        private boolean raise(int owner, long count) {
            total += count - used[owner];
            used[owner] = count;
            dirty[owner] = true;
            return true;
        }
    }
}
