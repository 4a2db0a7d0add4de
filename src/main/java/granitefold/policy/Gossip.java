package granitefold.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Exchanges with siblings the tenants' use of their buckets, and the load on shared workers. */
record Gossip(PolicyState state, WaitEstimator waits, Admission admission) {
    /** Interval between gossip rounds, taken from the published algorithm. */
    static final long GOSSIP_INTERVAL_US = 100_000;
    /** A load report is valid for this multiple of the time its jobs take, and this much longer. */
    static final double REPORT_LIFETIME_FACTOR = 3, REPORT_LIFETIME_US = 1_000_000;
    private static final int MIN_MESSAGE_BYTES = 40;

    void scheduleRound(long now) {
        if (state.nextGossipAt == 0) {
            state.nextGossipAt = now + GOSSIP_INTERVAL_US;
            state.actions.timer(GOSSIP_INTERVAL_US, DispatchPolicy.TIMER_GOSSIP);
        }
    }

    /** Sends the load reports that are due, and the changes in buckets to one random sibling. */
    void runRound(long now) {
        state.nextGossipAt = 0;
        state.loadReports.send(state.settings.selfIndex(), -1, null, state.random, state.actions);
        for (TrackedWorker worker : state.workers.values()) {
            if (worker.loadReported && now > worker.loadReportedUntil) {
                reportLoad(worker, -1, now);
            }
            if (!worker.openAttempts.isEmpty() || worker.loadReported) {
                scheduleRound(now);
            }
        }
        if (!state.settings.limits().siblingMessages() || state.siblings < 2
                || state.loadReports.relayBytes < MIN_MESSAGE_BYTES) {
            return;
        }
        byte[] message = SiblingMessage.begin();
        int length = SiblingMessage.MAGIC.length;
        int maxLength = (int) Math.min(SiblingMessage.MAX_BYTES, state.loadReports.relayBytes)
                - SiblingMessage.MAX_ENTRY_BYTES;
        List<Map.Entry<Integer, TokenBucket>> buckets = new ArrayList<>(state.buckets.entrySet());
        int firstOwner = state.random.nextInt(state.siblings);
        for (int i = buckets.size() - 1; i >= 0; i--) {
            TokenBucket bucket = buckets.get(i).getValue();
            for (int s = 0; s < state.siblings && length <= maxLength; s++) {
                int owner = (firstOwner + s) % state.siblings;
                if (bucket.dirty[owner]) {
                    length = SiblingMessage.putBucketUse(message, length, buckets.get(i).getKey(), owner,
                            bucket.used[owner], bucket.credited);
                    bucket.dirty[owner] = false;
                }
            }
        }
        if (length > SiblingMessage.MAGIC.length) {
            int sibling = state.random.nextInt(state.siblings - 1);
            state.actions.sendToSibling(sibling < state.settings.selfIndex() ? sibling : sibling + 1,
                    SiblingMessage.end(message, length));
            state.loadReports.relayBytes -= length + 1;
        }
    }

    /**
     * Reports our load on a worker to the siblings that share it. After a send (with its tenant, else -1) the
     * report goes out at once, with our use of the tenant's bucket. Load reports are not relayed: they soon
     * go out of date.
     */
    void reportLoad(TrackedWorker worker, int tenant, long now) {
        int heldSlots = worker.heldSlots();
        double speed = waits.speed(worker, now);
        double workUs = worker.openAttempts.stream()
                .mapToDouble(a -> waits.remainingUs(a, speed, now) * speed * a.job.slots).sum();
        worker.loadReported = heldSlots > 0;
        worker.loadReportedUntil = now
                + (heldSlots > 0 ? reportLifetimeUs(workUs / heldSlots / speed, worker.expectedWaitUs) : 0);
        if (state.settings.limits().siblingMessages() && !worker.sharingSiblings.isEmpty()) {
            state.loadReports.add(worker, workUs);
            scheduleRound(now);
        }
        TokenBucket bucket = admission.bucket(tenant, now);
        if (tenant >= 0 && state.loadReports.send(state.settings.selfIndex(), tenant, bucket, state.random,
                state.actions) == state.siblings - 1 && bucket != null) {
            bucket.dirty[state.settings.selfIndex()] = false;
        }
    }

    /** Returns how long a report is valid on jobs that each take {@code runUs} after a wait. */
    private static long reportLifetimeUs(double runUs, double waitUs) {
        return (long) (REPORT_LIFETIME_US + waitUs + REPORT_LIFETIME_FACTOR * runUs);
    }

    void messageReceived(long now, int from, byte[] message) {
        long[] entries = from < 0 || from >= state.siblings || from == state.settings.selfIndex() ? null
                : SiblingMessage.read(message, state.settings.tenants().size(), state.siblings);
        for (int i = 0; entries != null && i < entries.length; i += 4) {
            if (entries[i] < 0) {
                TrackedWorker worker = state.workers.get(entries[i + 1]);
                if (worker != null) {
                    recordSiblingLoad(worker, from, entries[i + 2] * SiblingMessage.WORK_UNIT_US,
                            (int) entries[i + 3], now);
                }
                continue;
            }
            TokenBucket bucket = admission.bucket((int) entries[i], now);
            int owner = (int) entries[i + 1];
            // a larger count of ours is from a previous process: what this one has used comes on top
            boolean previousProcess = bucket != null && owner == state.settings.selfIndex()
                    && entries[i + 2] > bucket.used[owner];
            if (bucket != null && bucket.merge(owner,
                    entries[i + 2] + (previousProcess ? bucket.usedSinceStart : 0), entries[i + 3])) {
                scheduleRound(now);
            }
        }
    }

    /** Replaces a sibling's previous load report on a worker. */
    private void recordSiblingLoad(TrackedWorker worker, int sibling, double workUs, int jobs, long now) {
        worker.siblingLoads.removeIf(load -> load.sibling() == sibling);
        if (jobs > 0) {
            double waitUs = waits.waitUs(worker, 1, now);
            double runUs = workUs / jobs / waits.speed(worker, now);
            worker.siblingLoads.add(new TrackedWorker.SiblingLoad(sibling, jobs, runUs, now + (long) waitUs,
                    now + reportLifetimeUs(runUs, waitUs)));
        }
    }
}
