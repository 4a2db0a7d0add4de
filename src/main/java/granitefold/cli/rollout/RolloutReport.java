package granitefold.cli.rollout;

import granitefold.rollout.MetricResult;
import granitefold.rollout.Plan;
import granitefold.rollout.Progress;
import granitefold.rollout.Rollout;
import java.util.List;
import java.util.Locale;

/** What a rollout decided and why, for a person with a minute. */
final class RolloutReport {
    private RolloutReport() { }

    static String text(Plan plan, Rollout rollout) {
        Progress p = rollout.progress();
        StringBuilder b = new StringBuilder();
        b.append(plan.name()).append(": ").append(p.state()).append(p.verdict().isEmpty() ? "" : ", " + p.verdict()).append('\n');
        b.append(String.format(Locale.ROOT, "%s to %s, stage %d of %d, order %s%s%n", plan.baseline().label(), plan.candidate().label(), p.stage() + 1,
                plan.stages().size(), p.order(), p.paused() ? ", paused" : ""));
        b.append("new: ").append(p.fresh().isEmpty() ? "none" : String.join(" ", p.fresh())).append("\ncompared with: ")
                .append(p.controls().isEmpty() ? "all that are old" : String.join(" ", p.controls())).append("\n\n");
        List<MetricResult> findings = rollout.metricResults();
        if (!findings.isEmpty()) {
            b.append(String.format("%-24s %9s %19s %8s %7s%n", "worse by", "estimate", "interval", "borne", "values"));
            for (MetricResult f : findings) {
                b.append(String.format(Locale.ROOT, "%-24s %9.4f %9.4f %9.4f %8.4f %7d%n", f.metric(), f.degradation(), f.lower(), f.upper(), f.margin(), f.blocks()));
            }
            b.append("shares as they are; time and memory as the logarithm of a ratio\n\n");
        }
        p.log().forEach(l -> b.append(l).append('\n'));
        return b.toString();
    }
}
