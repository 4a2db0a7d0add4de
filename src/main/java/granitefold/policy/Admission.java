package granitefold.policy;

import granitefold.Dispatcher.JobClass;
import granitefold.Dispatcher.Request;
import java.util.stream.DoubleStream;

/**
 * Decides which requests are refused: by the tenant's token bucket and by the wait that the job would have.
 */
record Admission(PolicyState state, SlowStartBudget slowStart, WaitEstimator waits,
        SendConstraints constraints) {
    /** Capacity of a bucket in seconds of its tenant's rate: shorter bursts pass unhindered. */
    static final double BUCKET_CAPACITY_S = 3;
    /**
     * Overload: the estimated wait on every candidate exceeds this multiple of the tightest class's
     * allowance.
     */
    static final double OVERLOAD_WAIT_FACTOR = 1;
    /** A job cannot meet its deadline if it would take longer than this multiple of what its class allows. */
    static final double MAX_ALLOWANCE_FACTOR = 1.25;
    /** Bounds of hinted work, and the work assumed before the first hint. */
    static final double MIN_WORK_US = 1_000, MAX_WORK_US = 600e6, DEFAULT_WORK_US = 1e6;
    /** Number of recent jobs that the mean of hints follows. */
    static final double MEAN_WINDOW_JOBS = 100;

    /** Returns the tenant's bucket, refilled up to now; null where the site gives no quota for it. */
    TokenBucket bucket(int tenant, long now) {
        if (tenant < 0 || tenant >= state.settings.tenants().size() || !(state.fleetRatePerS > 0)) {
            return null;
        }
        TokenBucket bucket = state.buckets.get(tenant);
        if (bucket == null) {
            double ratePerS = state.fleetRatePerS * Math.max(0, state.settings.tenants().get(tenant).share());
            bucket = new TokenBucket(ratePerS, Math.max(1, ratePerS * BUCKET_CAPACITY_S), state.siblings,
                    now);
            state.buckets.put(tenant, bucket);
        }
        bucket.refill(now);
        return bucket;
    }

    /** Returns the time until the bucket holds a whole token again, at least one second. */
    long retryAfterUs(TokenBucket bucket) {
        double seconds = bucket == null ? 1
                : bucket.ratePerS > 0 ? (1 - bucket.available()) / bucket.ratePerS : Double.MAX_VALUE;
        return (long) Math.min(state.settings.limits().maxRetryAfterUs(), Math.max(1, seconds) * 1e6);
    }

    /**
     * Determines the candidates for a job and estimates its wait on each, for the overload and deadline
     * checks and for the selection. A wait comprises the known load and how late own jobs start because of
     * load that siblings, cut off or too many, did not report. A worker in slow start without budget left is
     * no candidate: it is idle and would look like capacity that nobody may use.
     */
    void estimateWaits(Job job, long now) {
        state.candidates.clear();
        state.estimates++;
        double sumUs = 0;
        double unreportedUs = state.infersUnreportedLoad ? waits.unreportedWaitUs(now) : 0;
        for (TrackedWorker worker : state.preferred) {
            if ((worker.inSubset || slowStart.inSlowStart(worker, now)) && constraints.accepts(worker, job)
                    && slowStart.allows(job, worker, now)) {
                worker.knownWaitUs = waits.waitUs(worker, job.slots, now);
                double extraUs = worker.sharingSiblings.isEmpty() ? 0 : Math.max(unreportedUs,
                        worker.openAttempts.stream().filter(WaitEstimator::indicatesLoad)
                        .mapToDouble(a -> WaitEstimator.startDelayUs(a, now)).max().orElse(0));
                worker.expectedWaitUs = worker.knownWaitUs + extraUs;
                worker.queueWaitUs = state.slotSchedule.timeUntilFree(1) + extraUs;
                sumUs += worker.expectedWaitUs;
                addCandidate(worker);
            }
        }
        state.meanWaitUs = sumUs / Math.max(1, state.candidates.size());
        if (state.candidates.isEmpty()) {
            addWorkersOutsideSubset(job, now);
        }
    }

    /**
     * Adds the workers outside the subset, whose load nobody reports: the subset's mean wait stands for it.
     */
    void addWorkersOutsideSubset(Job job, long now) {
        if (state.lastEstimateOutsideSubset == state.estimates) {
            return;
        }
        state.lastEstimateOutsideSubset = state.estimates;
        for (TrackedWorker worker : state.workers.values()) {
            if (constraints.accepts(worker, job) && slowStart.allows(job, worker, now)
                    && worker.lastEstimate != state.estimates) {
                worker.expectedWaitUs = waits.waitUs(worker, job.slots, now) + state.meanWaitUs;
                worker.knownWaitUs = worker.expectedWaitUs - waits.waitErrorUs(now);
                worker.queueWaitUs = state.slotSchedule.timeUntilFree(1) + state.meanWaitUs;
                addCandidate(worker);
            }
        }
    }

    private void addCandidate(TrackedWorker worker) {
        worker.lastEstimate = state.estimates;
        state.candidates.add(worker);
    }

    /** Returns whether most candidates recently refused, or the wait on each of them exceeds the bound. */
    boolean overloaded(Job job, long now) {
        int refusing = 0, slow = 0;
        for (TrackedWorker worker : state.candidates) {
            refusing += worker.avoidedUntil > now ? 1 : 0;
            slow += worker.expectedWaitUs > OVERLOAD_WAIT_FACTOR * state.tightestAllowanceUs
                    || OutlierDetection.isSuspected(worker, now) ? 1 : 0;
        }
        return refusing * 2 > state.candidates.size() || slow == state.candidates.size();
    }

    /**
     * Returns whether no candidate is expected to finish in time: before the client gives up, and within the
     * class's allowance with some tolerance. Late work, above all work that nobody waits for, keeps an
     * overload going after its cause is over. Nor may a queue, the wait for one slot, exceed what a mean job
     * of any class can bear: a queue is long enough if it keeps the slots busy, and a longer one makes jobs
     * of tight classes late. The drawback: a misjudged wait refuses a job.
     */
    boolean cannotMeetDeadline(Job job, long now) {
        double allowedUs = allowedUs(job, now);
        double maxQueueUs = Math.max(state.tightestAllowanceUs,
                MAX_ALLOWANCE_FACTOR * DoubleStream.of(state.meanSlackUs).min().orElse(allowedUs));
        // suspected outliers get no jobs: their short queues are no capacity, unless all are suspected
        boolean anyHealthy = state.candidates.stream().anyMatch(w -> !OutlierDetection.isSuspected(w, now));
        return !state.candidates.isEmpty() && state.candidates.stream()
                .noneMatch(w -> !(anyHealthy && OutlierDetection.isSuspected(w, now))
                && w.queueWaitUs <= maxQueueUs && w.expectedWaitUs + waits.runUs(w, job, now) <= allowedUs);
    }

    /**
     * Returns the time left for the job to be useful: the client's, or the class's allowance with tolerance.
     */
    double allowedUs(Job job, long now) {
        JobClass jobClass = job.jobClass(state.settings);
        return Math.min(job.deadline - now, job.arrivedAt - now + MAX_ALLOWANCE_FACTOR
                * (jobClass.onTimeUs() + jobClass.stretch() * job.workUs / job.slots));
    }

    /**
     * Returns a request's work, hinted time times slots, within sane bounds; without a hint, the mean work.
     */
    double workUs(Request request) {
        int slots = Job.slots(request);
        if (!(request.workUs() > 0)) {
            return slots * state.meanWorkUs;
        }
        double workUs = Math.min(MAX_WORK_US, Math.max(MIN_WORK_US, request.workUs()));
        JobClass jobClass = state.settings.classes().get(request.jobClass());
        double slackUs = jobClass.onTimeUs() + Math.max(0, jobClass.stretch() - 1) * workUs;
        state.meanSlackUs[request.jobClass()]
                += (slackUs - state.meanSlackUs[request.jobClass()]) / MEAN_WINDOW_JOBS;
        workUs *= slots;
        state.hintsSeen++;
        state.meanWorkUs += (workUs - state.meanWorkUs) / Math.min(state.hintsSeen, MEAN_WINDOW_JOBS);
        return workUs;
    }
}
