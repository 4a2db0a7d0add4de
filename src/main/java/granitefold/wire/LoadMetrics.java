package granitefold.wire;

import granitefold.core.StatusReport;
import java.util.Locale;

/**
 * Encodes load metrics for an answer header in the text format of Open Request Cost Aggregation (ORCA):
 * {@code TEXT name=value, ...} with the names of xds.data.orca.v3.OrcaLoadReport.
 */
public final class LoadMetrics {
    private LoadMetrics() { }

    /**
     * Returns the header value. Utilizations are fractions (that of the CPU may exceed 1); {@code rps_fractional} and
     * {@code eps} are rates per second.
     */
    public static String text(StatusReport report) {
        return String.format(Locale.ROOT, "TEXT cpu_utilization=%.3f, mem_utilization=%.3f, application_utilization=%.3f,"
                + " rps_fractional=%.1f, eps=%.1f, named_metrics.weight=%d, named_metrics.owed=%d",
                Math.max(0, report.resources().cpuShare()), report.resources().heapShare(), report.waitRatio(), report.answersPerSecond(),
                report.answersPerSecond() * report.rejectShare(), report.availability().weightPercent(), report.owed());
    }
}
