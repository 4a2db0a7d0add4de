package granitefold.policy;

import granitefold.Dispatcher;
import granitefold.recovery.LearnedState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * The dispatch policy, with one file per concern: this one handles events and brings each job to its end. The
 * reasons behind the rules are in docs/DESIGN.md. Classes that the deploy file does not list under {@code
 * policy} hold data.
 */
public final class DispatchPolicy implements Dispatcher {
    /** Time after which a held request is tried again, unless many are held in a large fleet. */
    static final long HOLD_US = 40_000;
    /**
     * Number of workers that all held jobs together may be compared with in that time: in a large fleet
     * without room, their tries would keep the process so busy that answers to others are late.
     */
    static final int MAX_HOLD_COMPARISONS = 10_000;
    static final long TIMER_GOSSIP = 1, TIMER_WATCH = 2, TIMER_JOB = 3;

    final PolicyState state;
    private final Map<Long, Job> jobs = new HashMap<>();
    private final SlowStartBudget slowStart;
    private final WaitEstimator waits;
    private final SendConstraints constraints;
    private final Admission admission;
    private final WorkerSelector selector;
    private final Subset subset;
    private final Gossip gossip;
    private final AdmissionProbe probe;

    /** Creates an instance that has learned nothing yet; the seed is its only source of randomness. */
    public DispatchPolicy(Settings settings, long seed, Actions actions) {
        state = new PolicyState(settings, seed, actions);
        slowStart = new SlowStartBudget(state);
        waits = new WaitEstimator(state, slowStart);
        constraints = new SendConstraints(state, slowStart);
        admission = new Admission(state, slowStart, waits, constraints);
        selector = new WorkerSelector(state, waits, constraints, admission);
        subset = new Subset(state, slowStart);
        gossip = new Gossip(state, waits, admission);
        probe = new AdmissionProbe(state);
    }

    @Override
    public void start(long now) {
        if (state.settings.mustWatch()) {
            state.actions.watch();
        }
    }

    @Override
    public void requested(long now, Request request) {
        Job job = new Job(request, now, admission.workUs(request));
        TokenBucket bucket = admission.bucket(request.tenant(), now);
        estimateWaits(job, now);
        boolean overloaded = admission.overloaded(job, now),
                checkDeadline = overloaded || request.workUs() > 0;
        boolean overQuota = overloaded && bucket != null && bucket.available() < 1;
        boolean tooLate = checkDeadline && admission.cannotMeetDeadline(job, now);
        Refusal refusal = tooLate ? Refusal.HOPELESS : overQuota ? Refusal.QUOTA : null;
        if (refusal != null && !probe.admits(job, now)) {
            state.actions.refuse(request.id(), admission.retryAfterUs(bucket), refusal);
            return;
        }
        if (bucket != null) {
            bucket.use(state.settings.selfIndex(), 1);
        }
        state.loadReports.addBytesForRequest();
        gossip.scheduleRound(now);
        jobs.put(request.id(), job);
        dispatch(job, now);
    }

    @Override
    public void started(long now, long requestId, int attemptNumber) {
        Attempt attempt = findAttempt(requestId, attemptNumber);
        if (attempt != null && attempt.startedAt == 0) {
            attempt.startedAt = Math.max(1, now);
            attempt.worker.lastSignalAt = now;
            OutlierDetection.expectSignal(attempt, waits.timeToNextSignalUs(attempt, now), now);
            waits.recordStart(attempt, now);
        }
    }

    @Override
    public void progressed(long now, long requestId, int attemptNumber, double share) {
        Attempt attempt = findAttempt(requestId, attemptNumber);
        if (attempt != null && share >= 0 && share <= 1) {
            if (attempt.startedAt == 0) {
                attempt.startedAt = Math.max(attempt.sentAt, now - state.settings.progressUs());
            }
            attempt.progress = share;
            attempt.worker.lastSignalAt = now;
            OutlierDetection.expectSignal(attempt, state.settings.progressUs(), now);
        }
    }

    @Override
    public void ended(long now, long requestId, int attemptNumber, boolean over, Outcome outcome,
            Report report) {
        Job job = jobs.get(requestId);
        Attempt attempt = findAttempt(requestId, attemptNumber);
        if (attempt == null || attempt.outcome != null) {
            return;
        }
        attempt.outcome = outcome;
        job.openAttempts--;
        attempt.worker.openAttempts.remove(attempt);
        if (outcome != Outcome.TIMED_OUT && outcome != Outcome.CANCELLED && outcome != Outcome.MOOT) {
            attempt.worker.lastSignalAt = now;
        }
        waits.learn(job, attempt, outcome, report, now);
        OutlierDetection.recordOutcome(attempt.worker, attempt, now);
        gossip.reportLoad(attempt.worker, -1, now);
        job.over |= over;
        if (job.over) {
            release(job);
        } else if (job.openAttempts == 0) {
            estimateWaits(job, now);
            dispatch(job, now);
        }
    }

    @Override
    public void expired(long now, long requestId) {
        Job job = jobs.get(requestId);
        if (job != null) {
            job.over = true;
            release(job);
        }
    }

    @Override
    public void elapsed(long now, long token) {
        if (token == TIMER_GOSSIP) {
            if (now <= state.nextGossipAt + Gossip.GOSSIP_INTERVAL_US) {
                // a later timer means that the process was paused: answers are unread, silence proves nothing
                copyStuckJobs(now);
            }
            gossip.runRound(now);
        } else if (token == TIMER_WATCH) {
            state.actions.watch();
        } else if (token % 4 == TIMER_JOB) {
            state.heldJobs--;
            Job job = jobs.get(token / 4);
            if (job != null && !job.over && job.openAttempts == 0) {
                estimateWaits(job, now);
                dispatch(job, now);
            }
        }
    }

    @Override
    public Pressure pressure(long now) {
        return StatusSummary.pressure(state, waits, now);
    }

    @Override
    public WorkerCounts workerCounts(long now) {
        return StatusSummary.workerCounts(state, now);
    }

    @Override
    public void superseded() {
        state.superseded = true;
    }

    private void estimateWaits(Job job, long now) {
        subset.refresh(now);
        admission.estimateWaits(job, now);
    }

    private Attempt findAttempt(long requestId, int number) {
        Job job = jobs.get(requestId);
        return job == null || number < 0 || number >= job.attempts.size() ? null : job.attempts.get(number);
    }

    /**
     * Cancels the open attempts of a job that nobody waits for, if the site permits that. The job is kept
     * while attempts are open, for the load that they stand for.
     */
    private void release(Job job) {
        IntStream.range(0, state.settings.limits().cancel() ? job.attempts.size() : 0)
                .filter(i -> job.attempts.get(i).outcome == null)
                .forEach(i -> state.actions.cancel(job.id, i));
        if (job.openAttempts == 0) {
            jobs.remove(job.id);
        }
    }

    /**
     * Sends a second copy of jobs stuck on silent workers, where that is allowed and another worker has room.
     */
    private void copyStuckJobs(long now) {
        for (Job job : OutlierDetection.stuckJobs(state, now)) {
            if (!job.over && job.openAttempts < 2) {
                estimateWaits(job, now);
                TrackedWorker other = selector.select(job, now);
                if (other != null && !other.silent && other.expectedWaitUs <= state.tightestAllowanceUs) {
                    send(job, other, now);
                }
            }
        }
    }

    /**
     * Sends a job whose waits were estimated, holds it for a while, or ends it; every job continues here. A
     * job that no worker may take while its result is still useful is ended at once, so that its client
     * learns when to retry.
     */
    private void dispatch(Job job, long now) {
        TrackedWorker worker = constraints.timeLeftUs(job, now) > 0 ? selector.select(job, now) : null;
        double usefulUs = Math.min(admission.allowedUs(job, now), constraints.timeLeftUs(job, now));
        if (worker != null) {
            send(job, worker, now);
        } else if (usefulUs > HOLD_US
                && constraints.mayRepeat(job, null, now)
                && job.attempts.size() < state.settings.limits().maxAttempts()) {
            hold(job, usefulUs);
        } else {
            finish(job, now);
        }
    }

    /** Holds a job until it is tried again, the last time while its result can still be useful. */
    private void hold(Job job, double usefulUs) {
        state.heldJobs++;
        double comparisons = (double) state.heldJobs * state.workers.size();
        double pauseUs = HOLD_US * Math.max(1, comparisons / MAX_HOLD_COMPARISONS);
        state.actions.timer((long) Math.max(HOLD_US, Math.min(pauseUs, usefulUs - HOLD_US)),
                job.id * 4 + TIMER_JOB);
    }

    private void send(Job job, TrackedWorker worker, long now) {
        long windowUs = constraints.repeatWindowUs(job, now);
        Attempt attempt = new Attempt(job, worker, now, worker.expectedWaitUs, waits.fetchUs(worker, job));
        OutlierDetection.expectSignal(attempt, worker.expectedWaitUs
                + (state.settings.tellsStart() ? 0 : waits.timeToNextSignalUs(attempt, now)), now);
        job.attempts.add(attempt);
        probe.recordSend(now);
        job.openAttempts++;
        worker.openAttempts.add(attempt);
        worker.recordKey(job.key);
        worker.connections = Math.max(worker.connections, worker.openAttempts.size());
        if (slowStart.inSlowStart(worker, now)) {
            worker.slowStartSends.removeIf(s -> s[0] <= now - state.settings.rules().overloadWindowUs());
            worker.slowStartSends.addLast(new double[] {now, job.workUs});
        }
        state.actions.send(job.id, worker.id, 0, windowUs);
        gossip.reportLoad(worker, job.tenant, now);
    }

    /** Gives every final answer of the policy to an admitted job: refused where permitted, else failed. */
    private void finish(Job job, long now) {
        JobClass jobClass = job.jobClass(state.settings);
        if (jobClass.effect() == Effect.SAFE
                || jobClass.effect() == Effect.KEYED && jobClass.group() == Group.ALL
                || job.attempts.stream().noneMatch(Attempt::mayHaveRun)) {
            state.actions.refuse(job.id, admission.retryAfterUs(admission.bucket(job.tenant, now)),
                    Refusal.NO_WORKER);
        } else {
            state.actions.fail(job.id);
        }
        job.over = true;
        release(job);
    }

    @Override
    public void listUpdated(long now, ListUpdate update, List<Worker> entries) {
        subset.listUpdated(now, update, entries);
    }

    @Override
    public void messageReceived(long now, int from, byte[] message) {
        gossip.messageReceived(now, from, message);
    }

    @Override
    public LearnedState learned(long now) {
        return LearnedStateMapper.export(state, slowStart, now);
    }

    @Override
    public void restore(long now, LearnedState previous) {
        LearnedStateMapper.restore(state, admission, now, previous);
    }
}
