package granitefold.policy;

import granitefold.Dispatcher.Actions;
import granitefold.Dispatcher.JobClass;
import granitefold.Dispatcher.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** An instance's settings and what it has learned. Holds data only, shared by the classes that decide. */
final class PolicyState {
    private static final int MAX_BUCKETS = 4096;

    final Settings settings;
    final Actions actions;
    final SplittableRandom random;
    final int siblings;
    /**
     * Whether late starts of own jobs count as load that nobody reported, so that jobs are refused for it.
     * Off where siblings may not exchange messages and late results have a value too: long waits are normal
     * there, and refusing jobs for them loses more than it gains.
     */
    final boolean infersUnreportedLoad;
    /** The fleet's jobs per second by its quotas, and the on-time allowance of the tightest class. */
    final double fleetRatePerS;
    final long tightestAllowanceUs;
    final Map<Long, TrackedWorker> workers = new LinkedHashMap<>();
    final LinkedHashMap<Integer, TokenBucket> buckets = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, TokenBucket> leastRecentlyUsed) {
            return size() > MAX_BUCKETS;
        }
    };
    final Map<Integer, SpeedEstimate> kindSpeeds = new HashMap<>();
    final Map<Integer, Integer> kindSlots = new HashMap<>();
    /**
     * Mean work by hints. Before the first hint, or where a site gives none, all dispatchers use the same
     * default.
     */
    double meanWorkUs = Admission.DEFAULT_WORK_US;
    long hintsSeen;
    /** Total size of the listed workers, and the largest one so far. */
    double totalSize, maxTotalSize;
    /** Workers of our subset and those in slow start. */
    List<TrackedWorker> preferred = List.of();
    /** Workers that the current job may go to: preferred ones and, if need be, those outside the subset. */
    final List<TrackedWorker> candidates = new ArrayList<>();
    /** The number of estimates of waits so far. */
    long estimates;
    /** The number of the last one that workers outside the subset were added to. */
    long lastEstimateOutsideSubset;
    /** Number of jobs that are held until they are tried again. */
    int heldJobs;
    double meanWaitUs;
    double fetchUs = WaitEstimator.INITIAL_FETCH_US, keptKeys = WaitEstimator.INITIAL_KEPT_KEYS;
    /** Per class, the wait that a mean job can bear and still be on time. */
    final double[] meanSlackUs;
    /** Scratch schedule, used for one estimate at a time. */
    final SlotSchedule slotSchedule = new SlotSchedule();
    /** By how much recent jobs started later than known load explains, and when that was last updated. */
    double waitErrorUs;
    long waitErrorAt;
    /** Latest send time of the jobs that have started. */
    long latestStartedSentAt;
    /** Whether workers' reports state their free slots. */
    boolean freeSlotsReported;
    /** Whether another process of this instance serves and has taken over the slow-start budgets. */
    boolean superseded;
    /** The listed workers in the orders that the subsets of all dispatchers are made from. */
    final List<ShuffledOrder> orders = new ArrayList<>();
    /** Whether the list has changed since the subset was made, and which workers have left it meanwhile. */
    boolean subsetOutdated;
    final List<TrackedWorker> removedWorkers = new ArrayList<>();
    /** The next pause before the list is watched again. */
    long watchRetryUs = Subset.FIRST_WATCH_RETRY_US;
    final LoadReportQueue loadReports = new LoadReportQueue();
    /** Time of the next gossip round, 0 if none is scheduled. */
    long nextGossipAt;

    PolicyState(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
        siblings = Math.max(1, settings.siblings());
        double quotaPerS = settings.tenants().stream().mapToDouble(t -> Math.max(0, t.quotaPerS())).sum();
        double share = settings.tenants().stream().mapToDouble(t -> Math.max(0, t.share())).sum();
        tightestAllowanceUs = settings.classes().stream().mapToLong(JobClass::onTimeUs).min().orElse(0);
        meanSlackUs = settings.classes().stream().mapToDouble(JobClass::onTimeUs).toArray();
        infersUnreportedLoad = siblings > 1 && (settings.limits().siblingMessages()
                || settings.classes().stream().anyMatch(c -> !(c.lateWorth() > 0)));
        fleetRatePerS = share > 0 ? quotaPerS / share : quotaPerS;
    }
}
