package granitefold.policy;

import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.Report;

/**
 * Estimates how long a job would wait and run on a worker: from the load known there, from learned speeds,
 * fetch times and slots, and from how late own jobs start because of load that siblings did not report.
 */
record WaitEstimator(PolicyState state, SlowStartBudget slowStart) {
    /** Weight of one start in the running mean of wait errors. */
    static final double WAIT_ERROR_WEIGHT = 0.2;
    /** What one job leaves of the weight of older jobs in the speed of a worker and of a kind. */
    static final double WORKER_SPEED_DECAY = 0.95, KIND_SPEED_DECAY = 0.99;
    /** Prior weight, in jobs: of its kind's speed for a worker, and of speed 1 for a kind. */
    static final double SPEED_PRIOR_JOBS = 5;
    /**
     * What quotas promise counts half as evidence of slots after this many hints, since they give the mean
     * work. After as many jobs of the kind it is halved again, since those show the slots themselves.
     */
    static final double SLOTS_PRIOR_JOBS = 20;
    /** Maximum slots inferred from quotas, which may be absurd: each slot costs time in every estimate. */
    static final int MAX_QUOTA_SLOTS = 64;
    /** Upper bound on how far notes and answers of one worker overtake each other. */
    static final long MAX_REORDER_US = 30_000;
    /** Share of its hinted time that a job which overran it is assumed to need still. */
    static final double OVERRUN_REMAINING_SHARE = 0.5;
    /** Initial estimates of the time of a fetch and of the number of keys that a worker keeps. */
    static final double INITIAL_FETCH_US = 300_000, INITIAL_KEPT_KEYS = 6;
    /**
     * How far one job moves them; the fetch time moves faster, up to a bound, where siblings see most
     * fetches.
     */
    static final double FETCH_WEIGHT = 0.03, MAX_FETCH_WEIGHT = 0.1, KEPT_KEYS_STEP = 0.1;

    /**
     * Returns the speed of one core: learned from the worker's jobs and its kind's, and reduced in slow
     * start.
     */
    double speed(TrackedWorker worker, long now) {
        SpeedEstimate kind = state.kindSpeeds.get(worker.kind);
        double kindLogSpeed = kind == null ? 0 : kind.logSpeed(0, SPEED_PRIOR_JOBS);
        return Math.exp(worker.speed.logSpeed(kindLogSpeed, SPEED_PRIOR_JOBS))
                * slowStart.capacityShare(worker, now);
    }

    double runUs(TrackedWorker worker, Job job, long now) {
        return job.workUs / job.slots / speed(worker, now) + fetchUs(worker, job);
    }

    /**
     * Returns the time a job in its slots waits for its key's data; 0 if the worker is expected to keep that.
     */
    double fetchUs(TrackedWorker worker, Job job) {
        return job.key == 0 || worker.keysSince(job.key) < state.keptKeys ? 0 : state.fetchUs;
    }

    /**
     * Returns the slots seen on the worker or its kind, and at first those it needs for its part of what the
     * quotas promise. One of several dispatchers that share the worker sees only its part of the hints, and
     * of the jobs that run at once and so reveal slots: fewer hints and more jobs have the same effect there.
     */
    private int estimatedSlots(TrackedWorker worker) {
        SpeedEstimate kind = state.kindSpeeds.get(worker.kind);
        int users = 1 + worker.sharingSiblings.size();
        double needed = slowStart.quotaRatePerS(worker) * state.meanWorkUs / 1e6
                * state.hintsSeen / (state.hintsSeen + SLOTS_PRIOR_JOBS / users)
                / (1 + (kind == null ? 0 : kind.count) / SLOTS_PRIOR_JOBS / users);
        // a previous process may have learned of a kind without seeing its slots
        return Math.max(Math.max(worker.slotsSeen, (int) Math.ceil(Math.min(MAX_QUOTA_SLOTS, needed))),
                Math.max(1, state.kindSlots.getOrDefault(worker.kind, 1)));
    }

    void recordSlots(TrackedWorker worker, int seen) {
        if (seen > worker.slotsSeen && seen < 10_000) {
            worker.slotsSeen = seen;
            state.kindSlots.merge(worker.kind, seen, Math::max);
        }
    }

    /**
     * Returns the time before a job of this many slots would start, with the known load placed on the
     * worker's slots: our running jobs, siblings' jobs as reported, then our waiting jobs. A plain sum of the
     * work would avoid a worker that has one heavy job and idle slots.
     */
    double waitUs(TrackedWorker worker, int slots, long now) {
        double speed = speed(worker, now);
        state.slotSchedule.reset(estimatedSlots(worker));
        for (Attempt attempt : worker.openAttempts) {
            if (startedAt(attempt, now) != 0) {
                state.slotSchedule.place(attempt.job.slots, remainingUs(attempt, speed, now));
            }
        }
        worker.siblingLoads.removeIf(load -> load.validUntil() < now);
        for (TrackedWorker.SiblingLoad load : worker.siblingLoads) {
            double remainingUs = Math.max(load.runUs() - Math.max(0, now - load.startsAt()),
                    OVERRUN_REMAINING_SHARE * load.runUs());
            for (int i = load.jobs(); i > 0; i--) {
                state.slotSchedule.place(1, remainingUs);
            }
        }
        for (Attempt attempt : worker.openAttempts) {
            if (startedAt(attempt, now) == 0) {
                state.slotSchedule.place(attempt.job.slots, remainingUs(attempt, speed, now));
            }
        }
        return state.slotSchedule.timeUntilFree(slots);
    }

    /**
     * Returns by how much recent jobs waited longer than known load explains. Fades after the lifetime of a
     * load report, so that some dispatcher tries again.
     */
    double waitErrorUs(long now) {
        return state.waitErrorUs * decay(state.waitErrorAt, now);
    }

    private static double decay(long at, long now) {
        double over = now - at - Gossip.REPORT_LIFETIME_US;
        return over <= 0 ? 1 : Math.pow(0.5, over / Gossip.REPORT_LIFETIME_US);
    }

    /**
     * Returns by how much an attempt waited, or has waited so far, longer than known load explained. The
     * longer a waiting attempt is overdue, the less its delay counts.
     */
    static double startDelayUs(Attempt attempt, long now) {
        double due = attempt.sentAt + attempt.knownWaitUs;
        return attempt.startedAt != 0 ? attempt.startedAt - due
                : Math.max(0, now - due) * decay(attempt.signalDueAt, now);
    }

    /**
     * Returns whether an attempt's delay indicates load on the worker. It does not if one sent later has
     * started: then its connection has gone silent.
     */
    static boolean indicatesLoad(Attempt attempt) {
        return attempt.startedAt != 0 || !attempt.overtaken;
    }

    /**
     * Returns the reported start, or the expected one where workers report none; 0 while the attempt waits.
     */
    private long startedAt(Attempt attempt, long now) {
        return attempt.startedAt != 0 ? attempt.startedAt : !state.settings.tellsStart()
                && attempt.expectedStartAt <= now ? attempt.expectedStartAt : 0;
    }

    /**
     * Returns the time an attempt has still to run; one that overran its hint is expected to go on for a
     * while.
     */
    double remainingUs(Attempt attempt, double speed, long now) {
        long startedAt = startedAt(attempt, now);
        double totalUs = attempt.job.workUs / attempt.job.slots / speed + attempt.fetchUs;
        return startedAt == 0 ? totalUs
                : Math.max(totalUs - Math.max(attempt.progress * totalUs, now - startedAt),
                OVERRUN_REMAINING_SHARE * totalUs);
    }

    /** Learns about the worker from an ended attempt and its report. */
    void learn(Job job, Attempt attempt, Outcome outcome, Report report, long now) {
        TrackedWorker worker = attempt.worker;
        if (outcome == Outcome.SERVED) {
            long startedAt = attempt.startedAt != 0 ? attempt.startedAt
                    : attempt.slotExpectedFree && !state.settings.tellsStart() ? attempt.sentAt : 0;
            if (startedAt != 0 && now > startedAt && slowStart.capacityShare(worker, now) == 1) {
                double workTimeUs = job.workUs / job.slots / speed(worker, now);
                double extraUs = Math.max(0, now - startedAt - workTimeUs);
                if (attempt.fetchUs == 0) {
                    double logSpeed = Math.log(job.workUs / job.slots / (now - startedAt));
                    worker.speed.add(logSpeed);
                    state.kindSpeeds.computeIfAbsent(worker.kind, x -> new SpeedEstimate(KIND_SPEED_DECAY))
                            .add(logSpeed);
                } else {
                    double weight = Math.min(MAX_FETCH_WEIGHT,
                            FETCH_WEIGHT * (1 + worker.sharingSiblings.size()));
                    state.fetchUs += weight * (extraUs - state.fetchUs);
                }
                boolean wasKept = extraUs < state.fetchUs / 2;
                if (attempt.keysSince != Integer.MAX_VALUE && workTimeUs < state.fetchUs
                        && wasKept != (attempt.keysSince < state.keptKeys)) {
                    state.keptKeys += wasKept ? KEPT_KEYS_STEP : -KEPT_KEYS_STEP;
                }
            }
        }
        if (report != null && report.freeSlots() >= 0) {
            state.freeSlotsReported = true;
            recordSlots(worker, (int) Math.round(report.freeSlots()));
        }
    }

    /** Returns the time from an attempt's start to its next signal: a progress note, or its end. */
    double timeToNextSignalUs(Attempt attempt, long now) {
        double runUs = runUs(attempt.worker, attempt.job, now);
        return state.settings.progressUs() > 0 ? Math.min(runUs, state.settings.progressUs()) : runUs;
    }

    /**
     * Returns the extra wait at shared workers that own starts and open attempts reveal beyond the known
     * load.
     */
    double unreportedWaitUs(long now) {
        // recent starts count too: with few open attempts, one on a silent connection would decide alone
        double startsWeight = decay(state.waitErrorAt, now) / WAIT_ERROR_WEIGHT,
                delayUs = startsWeight * waitErrorUs(now), weight = startsWeight;
        for (TrackedWorker worker : state.preferred) {
            for (Attempt attempt : worker.openAttempts) {
                if (indicatesLoad(attempt) && (attempt.startedAt != 0 || now <= attempt.signalDueAt
                        || attempt.sentAt > state.latestStartedSentAt)) {
                    delayUs += startDelayUs(attempt, now);
                    weight++;
                }
            }
        }
        return Math.max(waitErrorUs(now), delayUs / Math.max(1, weight));
    }

    /** Learns from the reported start of an attempt. */
    void recordStart(Attempt attempt, long now) {
        state.latestStartedSentAt = Math.max(state.latestStartedSentAt, attempt.sentAt);
        // small jobs may overtake a large one for a while
        attempt.worker.openAttempts.stream().filter(other -> other.sentAt + MAX_REORDER_US < attempt.sentAt
                && (other.job.slots <= attempt.job.slots || now > other.signalDueAt))
                .forEach(other -> other.overtaken = true);
        state.waitErrorUs = waitErrorUs(now)
                + WAIT_ERROR_WEIGHT * (startDelayUs(attempt, now) - waitErrorUs(now));
        state.waitErrorAt = now;
        if (!state.freeSlotsReported) {
            recordSlots(attempt.worker, attempt.worker.runningSlots(now - MAX_REORDER_US));
        }
    }
}
