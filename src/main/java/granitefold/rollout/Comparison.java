package granitefold.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What one stage has shown so far. New and old ones are compared at the same time on the same traffic: each value is the difference
 * between the two groups over one stretch of time, so that a trouble that hits both cancels out. A stretch with too few answers on one
 * side goes on with the next.
 */
public final class Comparison {
    /** Answers of a class on either side without which a stretch of it says little. */
    static final int ANSWERS = 20;
    /** Stretches at which the intervals are to be tightest. */
    private static final int TIGHTEST = 30;
    /** So many answers on one side end a stretch, however few the other gave. */
    private static final int SILENT = 200;
    /** A dispatcher that holds so many requests and answers none is at fault. */
    private static final int HOLDS = 5;
    /** Lest a moment without any request make a logarithm of nothing. */
    private static final double LEAST_HELD = 0.1;
    private static final double LN_NOISE = 0.0025;

    /** What has been counted and not yet compared. */
    private static final class Side {
        final Map<String, Sample.Counts> classes = new TreeMap<>();
        double held;
        double watched;
        double rss;
        int samples;
        int dispatchers;

        /** Whether it has answers enough for a mean, or holds requests that get none. Who is hardly asked tells nothing. */
        boolean tellsTime() {
            return answers() >= ANSWERS || watched > 0 && held / watched >= HOLDS;
        }

        /** Little's law: the mean time in the dispatcher is what it holds over what it answers a second. */
        double time(double seconds) {
            return (held / watched + LEAST_HELD) / ((answers() + 0.5) / seconds / dispatchers);
        }

        long answers() {
            return classes.values().stream().mapToLong(Sample.Counts::all).sum();
        }
    }

    private final Margins margins;
    private final Map<String, Sample> last = new HashMap<>();
    private final Map<String, ConfidenceSequence> figures = new TreeMap<>();
    private final double alphaEach;
    private final List<String> classes;
    private Side fresh = new Side();
    private Side old = new Side();
    private double seconds;

    /** {@code classes}: those that are compared each by itself. */
    public Comparison(Margins margins, Collection<String> classes) {
        this.margins = margins;
        this.classes = List.copyOf(classes);
        // served, time, memory; refused and errors of each class: together they err no more often than one may
        alphaEach = margins.alpha() / (3 + 2 * this.classes.size());
    }

    /**
     * One look at both groups, at the same time.
     *
     * @param seconds since the look before
     */
    public void look(Map<String, Sample> fresh, Map<String, Sample> old, double seconds) {
        boolean first = last.isEmpty();
        take(this.fresh, fresh);
        take(this.old, old);
        last.keySet().retainAll(union(fresh, old));
        last.putAll(fresh);
        last.putAll(old);
        if (first) {
            return;
        }
        this.seconds += seconds;
        if (Math.min(this.fresh.answers(), this.old.answers()) >= ANSWERS
                || Math.max(this.fresh.answers(), this.old.answers()) >= SILENT) {
            compare();
            this.fresh = new Side();
            this.old = new Side();
            this.seconds = 0;
        }
    }

    private static Collection<String> union(Map<String, Sample> a, Map<String, Sample> b) {
        List<String> all = new ArrayList<>(a.keySet());
        all.addAll(b.keySet());
        return all;
    }

    private void take(Side side, Map<String, Sample> now) {
        side.dispatchers = now.size();
        now.forEach((name, s) -> {
            Sample before = last.get(name);
            if (before == null || before.life() != s.life()) {
                return;
            }
            s.classes().forEach((c, counts) -> side.classes.merge(c, counts.minus(before.classes().getOrDefault(c, Sample.Counts.NONE)),
                    Sample.Counts::plus));
            side.held += s.heldS() - before.heldS();
            side.watched += s.watchedS() - before.watchedS();
            side.rss += s.rssKb();
            side.samples++;
        });
    }

    private void compare() {
        if (fresh.samples == 0 || old.samples == 0) {
            return;
        }
        double freshShare = served(fresh);
        double oldShare = served(old);
        if (fresh.answers() > 0 && old.answers() > 0) {
            add("served", oldShare - freshShare, chance(freshShare, oldShare, fresh.answers(), old.answers()));
        }
        if (fresh.watched > 0 && old.watched > 0 && fresh.tellsTime() && old.tellsTime()) {
            add("time", Math.log(fresh.time(seconds) / old.time(seconds)), 1 / (fresh.answers() + 1.0) + 1 / (old.answers() + 1.0) + LN_NOISE);
        }
        if (fresh.rss > 0 && old.rss > 0) {
            add("memory", Math.log(fresh.rss / fresh.samples * old.samples / old.rss), LN_NOISE);
        }
        for (String c : classes) {
            Sample.Counts f = fresh.classes.getOrDefault(c, Sample.Counts.NONE);
            Sample.Counts o = old.classes.getOrDefault(c, Sample.Counts.NONE);
            if (f.all() > 0 && o.all() > 0) {
                share("refused " + c, f.overload(), f.all(), o.overload(), o.all());
                share("errors " + c, f.error(), f.all(), o.error(), o.all());
            }
        }
    }

    private void share(String figure, long fresh, long freshAll, long old, long oldAll) {
        double a = (double) fresh / freshAll;
        double b = (double) old / oldAll;
        add(figure, a - b, chance(a, b, freshAll, oldAll));
    }

    /** The variance that chance alone gives a difference of two shares. */
    private static double chance(double a, double b, long n, long m) {
        // Laplace's rule: a share that was never seen is not impossible
        double p = ((a * n + b * m) + 1) / (n + m + 2);
        return p * (1 - p) * (1.0 / n + 1.0 / m);
    }

    private double served(Side s) {
        double all = 0;
        double served = 0;
        for (Map.Entry<String, Sample.Counts> e : s.classes.entrySet()) {
            all += margins.worthOf(e.getKey()) * e.getValue().all();
            served += margins.worthOf(e.getKey()) * e.getValue().success();
        }
        return all == 0 ? 0 : served / all;
    }

    private void add(String figure, double harm, double minVariance) {
        figures.computeIfAbsent(figure, f -> new ConfidenceSequence(alphaEach, TIGHTEST)).add(harm, minVariance);
    }

    private double margin(String figure) {
        return switch (figure.split(" ")[0]) {
            case "served" -> margins.served();
            case "refused" -> margins.refused();
            case "errors" -> margins.errors();
            case "time" -> Math.log(margins.time());
            default -> Math.log(margins.memory());
        };
    }

    /** All that was found, the worst first. */
    public List<MetricResult> metricResults() {
        List<MetricResult> all = new ArrayList<>();
        figures.forEach((name, s) -> all.add(new MetricResult(name, s.mean(), s.lower(), s.upper(), margin(name), s.count())));
        all.sort((a, b) -> Double.compare(b.degradation() / b.margin(), a.degradation() / a.margin()));
        return all;
    }

    /** What it comes to. */
    public Verdict verdict() {
        List<MetricResult> all = metricResults();
        for (MetricResult f : all) {
            if (f.worse()) {
                return new Verdict(Verdict.Kind.WORSE, f.toString());
            }
        }
        List<MetricResult> open = all.stream().filter(f -> !f.good()).toList();
        if (all.isEmpty() || !all.stream().anyMatch(f -> f.metric().equals("served"))) {
            return new Verdict(Verdict.Kind.INCONCLUSIVE, "too few answers");
        }
        return open.isEmpty() ? new Verdict(Verdict.Kind.GOOD, all.get(0).toString())
                : new Verdict(Verdict.Kind.INCONCLUSIVE, open.get(0).toString());
    }
}
