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

/** What an instance was told and has learned, shared by the files that decide: data only. */
final class Knowledge {
    private static final int BUCKETS_MOST = 4096;

    final Settings set;
    final Actions out;
    final SplittableRandom random;
    final int siblings;
    /**
     * How late own jobs start shows work that nobody tells us of, and keeps out what would be late. Not where siblings may never
     * speak and late jobs are worth something too: such waits are the rule there, and who refuses for them loses more.
     */
    final boolean hearsay;
    /** The fleet's jobs a second by its quotas, and the tightest class's allowance, in microseconds. */
    final double fleetRate;
    final long tightest;
    final Map<Long, Node> nodes = new LinkedHashMap<>();
    final LinkedHashMap<Integer, Bucket> buckets = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Bucket> leastLatelyUsed) {
            return size() > BUCKETS_MOST;
        }
    };
    final Map<Integer, Speed> kinds = new HashMap<>();
    final Map<Integer, Integer> kindSlots = new HashMap<>();
    /** By hints; before the first, or where a site gives none, a guess that all dispatchers share. */
    double meanWork = Admission.WORK_UNKNOWN;
    long worksSeen;
    double mostSize;
    /** Workers of our subset and cold ones; of them and a spill's, those that the job in hand may go to. */
    List<Node> near = List.of();
    final List<Node> reach = new ArrayList<>();
    double meanWait;
    double fetchTime = Waits.FETCH_US, kept = Waits.KEPT;
    /** The wait that a mean job of each class can bear and still be on time. */
    final double[] slack;
    /** For one estimate at a time; how much later than counted jobs lately started, and as of when. */
    final Lanes lanes = new Lanes();
    double drift;
    long driftAt;
    /** When the latest sent of the jobs that have started was sent. */
    long startSentAt;
    /** Reports tell of free slots. */
    boolean freeTold;
    /** Another process of ours serves, and has the cold budgets. */
    boolean relieved;
    /** Which workers the subset was made of; the next pause before the list is asked for again. */
    long listKey;
    long askPause = Subset.ASK_FIRST_US;
    final Words words = new Words();
    /** When the next round of gossip is due, 0 if none is. */
    long gossipAt;

    Knowledge(Settings settings, long seed, Actions actions) {
        set = settings;
        out = actions;
        random = new SplittableRandom(seed);
        siblings = Math.max(1, set.siblings());
        double quota = set.tenants().stream().mapToDouble(t -> Math.max(0, t.quotaPerS())).sum();
        double share = set.tenants().stream().mapToDouble(t -> Math.max(0, t.share())).sum();
        tightest = set.classes().stream().mapToLong(JobClass::onTimeUs).min().orElse(0);
        slack = set.classes().stream().mapToDouble(JobClass::onTimeUs).toArray();
        hearsay = siblings > 1 && (set.limits().siblingMessages() || set.classes().stream().anyMatch(c -> !(c.lateWorth() > 0)));
        fleetRate = share > 0 ? quota / share : quota;
    }
}
