package granitefold.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Statistical comparison of the new version (candidate) with the old one (baseline) in one stage. Both groups are measured at the same
 * time on the same traffic: each value is the difference between them over one block of time, so that a fault that affects both
 * cancels out. A block with too few answers in one group is extended.
 */
public final class Comparison {
    /** Answers below which a group's mean says little; a block in which either group has fewer is extended. */
    static final int MIN_ANSWERS = 20;
    /** Number of blocks at which the confidence intervals are tightest. */
    private static final int TIGHTEST_AT_BLOCKS = 30;
    /** Answers of one group that close a block even if the other group has fewer than the minimum. */
    private static final int MAX_ANSWERS = 200;
    /** Mean number of held requests from which a group with few answers is compared too: holding them without answering is a fault. */
    private static final int MIN_HELD = 5;
    /** Added to the mean number of held requests, so that the logarithm of an idle group's time is finite. */
    private static final double HELD_OFFSET = 0.1;
    /** Minimum variance of the logarithm of a ratio. */
    private static final double MIN_LOG_RATIO_VARIANCE = 0.0025;

    /** Sums of one group in the current block. */
    private static final class Group {
        final Map<String, Sample.Counts> classes = new TreeMap<>();
        double held;
        double watched;
        double rss;
        int samples;
        int dispatchers;

        /** Returns whether the group has enough answers for a mean, or holds requests without answering. A nearly idle group has neither. */
        boolean hasTime() {
            return answers() >= MIN_ANSWERS || watched > 0 && held / watched >= MIN_HELD;
        }

        /** Returns the mean time in the dispatcher by Little's law: mean number held divided by answers per second. */
        double time(double seconds) {
            return (held / watched + HELD_OFFSET) / ((answers() + 0.5) / seconds / dispatchers);
        }

        long answers() {
            return classes.values().stream().mapToLong(Sample.Counts::all).sum();
        }
    }

    private final Margins margins;
    private final Map<String, Sample> lastSamples = new HashMap<>();
    private final Map<String, ConfidenceSequence> metrics = new TreeMap<>();
    private final double alphaEach;
    private final List<String> classes;
    private Group candidate = new Group();
    private Group baseline = new Group();
    private double seconds;

    /** {@code classes}: job classes that are also compared individually. */
    public Comparison(Margins margins, Collection<String> classes) {
        this.margins = margins;
        this.classes = List.copyOf(classes);
        // Bonferroni correction: three metrics over all classes (served, time, memory), two for each class (refused, errors)
        alphaEach = margins.alpha() / (3 + 2 * this.classes.size());
    }

    /**
     * Adds samples of both groups taken at the same time.
     *
     * @param seconds time since the previous samples
     */
    public void addSamples(Map<String, Sample> candidate, Map<String, Sample> baseline, double seconds) {
        boolean first = lastSamples.isEmpty();
        accumulate(this.candidate, candidate);
        accumulate(this.baseline, baseline);
        lastSamples.keySet().retainAll(union(candidate, baseline));
        lastSamples.putAll(candidate);
        lastSamples.putAll(baseline);
        if (first) {
            return;
        }
        this.seconds += seconds;
        if (Math.min(this.candidate.answers(), this.baseline.answers()) >= MIN_ANSWERS
                || Math.max(this.candidate.answers(), this.baseline.answers()) >= MAX_ANSWERS) {
            closeBlock();
            this.candidate = new Group();
            this.baseline = new Group();
            this.seconds = 0;
        }
    }

    private static Collection<String> union(Map<String, Sample> a, Map<String, Sample> b) {
        List<String> all = new ArrayList<>(a.keySet());
        all.addAll(b.keySet());
        return all;
    }

    private void accumulate(Group group, Map<String, Sample> current) {
        group.dispatchers = current.size();
        current.forEach((name, s) -> {
            Sample before = lastSamples.get(name);
            if (before == null || before.life() != s.life()) {
                return;
            }
            s.classes().forEach((c, counts) -> group.classes.merge(c, counts.minus(before.classes().getOrDefault(c, Sample.Counts.NONE)),
                    Sample.Counts::plus));
            group.held += s.heldS() - before.heldS();
            group.watched += s.watchedS() - before.watchedS();
            group.rss += s.rssKb();
            group.samples++;
        });
    }

    private void closeBlock() {
        if (candidate.samples == 0 || baseline.samples == 0) {
            return;
        }
        double candidateShare = served(candidate);
        double baselineShare = served(baseline);
        if (candidate.answers() > 0 && baseline.answers() > 0) {
            add("served", baselineShare - candidateShare, samplingVariance(candidateShare, baselineShare, candidate.answers(), baseline.answers()));
        }
        if (candidate.watched > 0 && baseline.watched > 0 && candidate.hasTime() && baseline.hasTime()) {
            add("time", Math.log(candidate.time(seconds) / baseline.time(seconds)),
                    1 / (candidate.answers() + 1.0) + 1 / (baseline.answers() + 1.0) + MIN_LOG_RATIO_VARIANCE);
        }
        if (candidate.rss > 0 && baseline.rss > 0) {
            add("memory", Math.log(candidate.rss / candidate.samples * baseline.samples / baseline.rss), MIN_LOG_RATIO_VARIANCE);
        }
        for (String c : classes) {
            Sample.Counts f = candidate.classes.getOrDefault(c, Sample.Counts.NONE);
            Sample.Counts o = baseline.classes.getOrDefault(c, Sample.Counts.NONE);
            if (f.all() > 0 && o.all() > 0) {
                addShare("refused " + c, f.overload(), f.all(), o.overload(), o.all());
                addShare("errors " + c, f.error(), f.all(), o.error(), o.all());
            }
        }
    }

    private void addShare(String metric, long candidate, long candidateAll, long baseline, long baselineAll) {
        double a = (double) candidate / candidateAll;
        double b = (double) baseline / baselineAll;
        add(metric, a - b, samplingVariance(a, b, candidateAll, baselineAll));
    }

    /** Returns the sampling variance of the difference of two shares. */
    private static double samplingVariance(double a, double b, long n, long m) {
        // Laplace's rule of succession, so that the variance of an outcome not seen yet is not 0
        double p = ((a * n + b * m) + 1) / (n + m + 2);
        return p * (1 - p) * (1.0 / n + 1.0 / m);
    }

    private double served(Group s) {
        double all = 0;
        double served = 0;
        for (Map.Entry<String, Sample.Counts> e : s.classes.entrySet()) {
            all += margins.worthOf(e.getKey()) * e.getValue().all();
            served += margins.worthOf(e.getKey()) * e.getValue().success();
        }
        return all == 0 ? 0 : served / all;
    }

    private void add(String metric, double degradation, double minVariance) {
        metrics.computeIfAbsent(metric, f -> new ConfidenceSequence(alphaEach, TIGHTEST_AT_BLOCKS)).add(degradation, minVariance);
    }

    private double margin(String metric) {
        return switch (metric.split(" ")[0]) {
            case "served" -> margins.served();
            case "refused" -> margins.refused();
            case "errors" -> margins.errors();
            case "time" -> Math.log(margins.time());
            default -> Math.log(margins.memory());
        };
    }

    /** Returns the results of all metrics, the worst first. */
    public List<MetricResult> metricResults() {
        List<MetricResult> all = new ArrayList<>();
        metrics.forEach((name, s) -> all.add(new MetricResult(name, s.mean(), s.lower(), s.upper(), margin(name), s.count())));
        all.sort((a, b) -> Double.compare(b.degradation() / b.margin(), a.degradation() / a.margin()));
        return all;
    }

    /** Returns the outcome so far. */
    public Verdict verdict() {
        List<MetricResult> all = metricResults();
        for (MetricResult f : all) {
            if (f.worse()) {
                return new Verdict(Verdict.Kind.WORSE, f.toString());
            }
        }
        List<MetricResult> undecided = all.stream().filter(f -> !f.good()).toList();
        if (all.isEmpty() || !all.stream().anyMatch(f -> f.metric().equals("served"))) {
            return new Verdict(Verdict.Kind.INCONCLUSIVE, "too few answers");
        }
        return undecided.isEmpty() ? new Verdict(Verdict.Kind.GOOD, all.get(0).toString())
                : new Verdict(Verdict.Kind.INCONCLUSIVE, undecided.get(0).toString());
    }
}
