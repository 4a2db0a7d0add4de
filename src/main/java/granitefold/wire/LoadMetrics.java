package granitefold.wire;

import granitefold.core.StatusReport;
import java.util.Locale;

/**
 * Load on an answer, in the text form of the Open Request Cost Aggregation: {@code TEXT name=value, ...} with the
 * names of xds.data.orca.v3.OrcaLoadReport.
 */
public final class LoadMetrics {
    private LoadMetrics() { }

    /** Utilizations are shares (cpu's may pass 1), {@code rps_fractional} and {@code eps} are per second. */
    public static String text(StatusReport r) {
        return String.format(Locale.ROOT, "TEXT cpu_utilization=%.3f, mem_utilization=%.3f, application_utilization=%.3f,"
                + " rps_fractional=%.1f, eps=%.1f, named_metrics.weight=%d, named_metrics.owed=%d",
                Math.max(0, r.resources().cpuShare()), r.resources().heapShare(), r.waitRatio(), r.answersPerSecond(),
                r.answersPerSecond() * r.rejectShare(), r.availability().weightPercent(), r.owed());
    }
}
