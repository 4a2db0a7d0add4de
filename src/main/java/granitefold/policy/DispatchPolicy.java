package granitefold.policy;

import granitefold.Dispatcher;
import granitefold.recovery.LearnedState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * The decisions of a dispatcher, one file a matter: this one takes events and brings each job to its end. Why
 * things are so is told in docs/DESIGN.md. What is not under {@code policy} in the deploy file is data.
 */
public final class DispatchPolicy implements Dispatcher {
    /** A held request is looked at again after this long. */
    static final long HOLD_US = 40_000;
    static final long TIMER_GOSSIP = 1, TIMER_ASK = 2, TIMER_JOB = 3;

    final Knowledge k;
    private final Map<Long, Job> jobs = new HashMap<>();
    private final ColdBudget cold;
    private final Waits waits;
    private final SendGate gate;
    private final Admission admission;
    private final Pick picks;
    private final Subset subset;
    private final Gossip gossip;
    private final AdmissionProbe probe;

    /** A fresh instance, which knows nothing yet; the seed is its only source of chance. */
    public DispatchPolicy(Settings settings, long seed, Actions actions) {
        k = new Knowledge(settings, seed, actions);
        cold = new ColdBudget(k);
        waits = new Waits(k, cold);
        gate = new SendGate(k, cold);
        admission = new Admission(k, cold, waits, gate);
        picks = new Pick(k, waits, gate, admission);
        subset = new Subset(k, cold);
        gossip = new Gossip(k, waits, admission);
        probe = new AdmissionProbe(k);
    }

    @Override
    public void start(long now) {
        if (k.set.mustWatch()) {
            k.out.watch();
        }
    }

    @Override
    public void requested(long now, Request r) {
        Job job = new Job(r, now, admission.weigh(r));
        Bucket b = admission.bucket(r.tenant(), now);
        admission.survey(job, now);
        boolean strained = admission.strained(job, now), told = strained || r.workUs() > 0;
        boolean overQuota = strained && b != null && b.available() < 1;
        boolean hopeless = told && admission.hopeless(job, now);
        Refusal why = hopeless ? Refusal.HOPELESS : overQuota ? Refusal.QUOTA : null;
        if (why != null && !probe.admits(job, now)) {
            k.out.refuse(r.id(), admission.retryAfter(b), why);
            return;
        }
        if (b != null) {
            b.use(k.set.selfIndex(), 1);
        }
        k.words.earn();
        gossip.soon(now);
        jobs.put(r.id(), job);
        place(job, now);
    }

    @Override
    public void started(long now, long request, int attempt) {
        Attempt a = attempt(request, attempt);
        if (a != null && a.startedAt == 0) {
            a.startedAt = Math.max(1, now);
            a.node.heardAt = now;
            Suspicion.expect(a, waits.nextSign(a, now), now);
            waits.started(a, now);
        }
    }

    @Override
    public void progressed(long now, long request, int attempt, double share) {
        Attempt a = attempt(request, attempt);
        if (a != null && share >= 0 && share <= 1) {
            if (a.startedAt == 0) {
                a.startedAt = Math.max(a.sentAt, now - k.set.progressUs());
            }
            a.done = share;
            a.node.heardAt = now;
            Suspicion.expect(a, k.set.progressUs(), now);
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
        waits.learn(job, a, outcome, report, now);
        Suspicion.refused(a.node, a, now);
        gossip.tell(a.node, -1, now);
        job.over |= over;
        if (job.over) {
            forget(job);
        } else if (job.open == 0) {
            admission.survey(job, now);
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
            if (now <= k.gossipAt + Gossip.GOSSIP_US) {
                // else we stood still, what came meanwhile is still to be read, and silence means nothing
                rescue(now);
            }
            gossip.round(now);
        } else if (token == TIMER_ASK) {
            k.out.watch();
        } else if (token % 4 == TIMER_JOB) {
            Job job = jobs.get(token / 4);
            if (job != null && !job.over && job.open == 0) {
                admission.survey(job, now);
                place(job, now);
            }
        }
    }

    @Override
    public Pressure pressure(long now) {
        return Outlook.pressure(k, waits, now);
    }

    @Override
    public WorkerCounts workerCounts(long now) {
        return Outlook.workerCounts(k, now);
    }

    @Override
    public void superseded() {
        k.relieved = true;
    }

    private Attempt attempt(long request, int number) {
        Job job = jobs.get(request);
        return job == null || number < 0 || number >= job.attempts.size() ? null : job.attempts.get(number);
    }

    /** Nobody waits for the job any more; it is kept while attempts are out, for the work they stand for. */
    private void forget(Job job) {
        IntStream.range(0, k.set.limits().cancel() ? job.attempts.size() : 0)
                .filter(i -> job.attempts.get(i).outcome == null).forEach(i -> k.out.cancel(job.id, i));
        if (job.open == 0) {
            jobs.remove(job.id);
        }
    }

    /** Sends what is stuck on silent workers once more, where that is allowed and another has room. */
    private void rescue(long now) {
        for (Job job : Suspicion.stuck(k, now)) {
            if (!job.over && job.open < 2) {
                admission.survey(job, now);
                Node other = picks.pick(job, now);
                if (other != null && !other.quiet && other.wait <= k.tightest) {
                    send(job, other, now);
                }
            }
        }
    }

    /**
     * Sends a surveyed job, holds it for a while, or ends it: the one place a job goes on from. What no
     * worker may take while it can still be of use is ended at once: its client can be told when to come
     * back.
     */
    private void place(Job job, long now) {
        Node n = gate.timeLeft(job, now) > 0 ? picks.pick(job, now) : null;
        if (n != null) {
            send(job, n, now);
        } else if (Math.min(admission.allowed(job, now), gate.timeLeft(job, now)) > HOLD_US
                && gate.mayRepeat(job, null, now) && job.attempts.size() < k.set.limits().maxAttempts()) {
            k.out.timer(HOLD_US, job.id * 4 + TIMER_JOB);
        } else {
            finish(job, now);
        }
    }

    private void send(Job job, Node n, long now) {
        long window = gate.window(job, now);
        Attempt a = new Attempt(job, n, now, n.wait, waits.fetch(n, job));
        Suspicion.expect(a, n.wait + (k.set.tellsStart() ? 0 : waits.nextSign(a, now)), now);
        job.attempts.add(a);
        probe.sent(now);
        job.open++;
        n.out.add(a);
        n.sentKey(job.key);
        n.connections = Math.max(n.connections, n.out.size());
        if (cold.isCold(n, now)) {
            n.coldSends.removeIf(s -> s[0] <= now - k.set.rules().overloadWindowUs());
            n.coldSends.addLast(new double[] {now, job.work});
        }
        k.out.send(job.id, n.id, 0, window);
        gossip.tell(n, job.tenant, now);
    }

    /** The one gate for every final answer of a job taken in: refused where that is legal, else failed. */
    private void finish(Job job, long now) {
        JobClass type = job.type(k.set);
        if (type.effect() == Effect.SAFE || type.effect() == Effect.KEYED && type.group() == Group.ALL
                || job.attempts.stream().noneMatch(Attempt::mayHaveRun)) {
            k.out.refuse(job.id, admission.retryAfter(admission.bucket(job.tenant, now)), Refusal.NO_WORKER);
        } else {
            k.out.fail(job.id);
        }
        job.over = true;
        forget(job);
    }

    @Override
    public void listUpdated(long now, ListUpdate news, List<Worker> entries) {
        subset.listed(now, news, entries);
    }

    @Override
    public void messageReceived(long now, int from, byte[] m) {
        gossip.heard(now, from, m);
    }

    @Override
    public LearnedState learned(long now) {
        return FormerLife.learned(k, cold, now);
    }

    @Override
    public void restore(long now, LearnedState l) {
        FormerLife.restore(k, admission, now, l);
    }
}
