package granitefold.cli.rollout;

import granitefold.rollout.MetricResult;
import granitefold.rollout.Plan;
import granitefold.rollout.Progress;
import granitefold.rollout.Rollout;
import java.util.List;
import java.util.Locale;

/** Report of a rollout as text: its state, the comparison's results and the log of its decisions. */
final class RolloutReport {
    private RolloutReport() { }

    static String text(Plan plan, Rollout rollout) {
        Progress p = rollout.progress();
        StringBuilder b = new StringBuilder();
        b.append(plan.name()).append(": ").append(p.state()).append(p.verdict().isEmpty() ? "" : ", " + p.verdict()).append('\n');
        b.append(String.format(Locale.ROOT, "%s to %s, stage %d of %d, order %s%s%n", plan.baseline().label(), plan.candidate().label(), p.stage() + 1,
                plan.stages().size(), p.order(), p.paused() ? ", paused" : ""));
        b.append("new: ").append(p.fresh().isEmpty() ? "none" : String.join(" ", p.fresh())).append("\ncompared with: ")
                .append(p.controls().isEmpty() ? "all on the old version" : String.join(" ", p.controls())).append("\n\n");
        List<MetricResult> results = rollout.metricResults();
        if (!results.isEmpty()) {
            b.append(String.format("%-24s %9s %19s %8s %7s%n", "worse by", "estimate", "interval", "borne", "values"));
            for (MetricResult f : results) {
                b.append(String.format(Locale.ROOT, "%-24s %9.4f %9.4f %9.4f %8.4f %7d%n", f.metric(), f.degradation(), f.lower(), f.upper(),
                        f.margin(), f.blocks()));
            }
            b.append("served, refused and errors as differences of shares; time and memory as logarithms of ratios\n\n");
        }
        p.log().forEach(l -> b.append(l).append('\n'));
        return b.toString();
    }
}
