package granitefold.net;

import granitefold.core.StatusReport;
import granitefold.core.ResourceUsage;
import granitefold.operator.OperatorSettings;
import granitefold.wire.LoadMetrics;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpField;

/**
 * Measures the process and holds the last published status report for other threads to read. Created only if the operator has
 * configured something that exposes the status.
 */
public final class StatusReporter {
    /** The request header by which a client asks for load metrics, and the response header that carries them. */
    static final String METRICS_REQUEST_HEADER = "endpoint-load-metrics-format", METRICS_RESPONSE_HEADER = "endpoint-load-metrics";
    /** Envoy, "Health checking": a host whose response has this header is removed at once, before the next check. */
    private static final HttpField FAIL_HEALTH_CHECK = new HttpField("x-envoy-immediate-health-check-fail", "true");

    /** A report and the time of its publication ({@link System#nanoTime}). */
    public record PublishedReport(StatusReport report, long publishedNs) {
        /** Returns the time since the publication, in microseconds. */
        public long ageUs() {
            return (System.nanoTime() - publishedNs) / 1000;
        }
    }

    private final Clock clock;
    private final OperatorSettings.Clients clients;
    private final double cores;
    private final List<MemoryPoolMXBean> heap = ManagementFactory.getMemoryPoolMXBeans().stream()
            .filter(p -> p.getType() == MemoryType.HEAP && p.getCollectionUsage() != null).toList();
    private final com.sun.management.OperatingSystemMXBean system =
            (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    private long timerLagUs;
    private long sampledCpuNs = system.getProcessCpuTime();
    private long sampledNs = System.nanoTime();
    private String metrics = "";
    private volatile PublishedReport published;

    StatusReporter(Clock clock, OperatorSettings.Clients clients, double cores) {
        this.clock = clock;
        this.clients = clients;
        this.cores = cores;
    }

    /** Returns the last report, or null before the first. May be called from any thread. */
    public PublishedReport published() {
        return published;
    }

    /** Records the lag of a timer that was due at {@code dueAtUs}. */
    void timerFired(long dueAtUs) {
        // the selector rounds its timeout up to a millisecond, which does not count as lag
        timerLagUs = Math.max(timerLagUs, clock.micros() - dueAtUs - 1000);
    }

    /** Measures memory, CPU and timer lag since the last sample. */
    ResourceUsage sample(double descriptorShare) {
        long used = 0;
        for (MemoryPoolMXBean pool : heap) {
            MemoryUsage usage = pool.getCollectionUsage();
            used += usage == null ? 0 : usage.getUsed();
        }
        long nowNs = System.nanoTime();
        long cpuNs = system.getProcessCpuTime();
        double share = (cpuNs - sampledCpuNs) / (cores * Math.max(TimeUnit.MILLISECONDS.toNanos(1), nowNs - sampledNs));
        sampledCpuNs = cpuNs;
        sampledNs = nowNs;
        ResourceUsage resources = new ResourceUsage((double) used / Runtime.getRuntime().maxMemory(), descriptorShare, share, timerLagUs);
        timerLagUs = 0;
        return resources;
    }

    void publish(StatusReport report) {
        published = new PublishedReport(report, System.nanoTime());
        if (clients.loadMetrics()) {
            metrics = LoadMetrics.text(report);
        }
    }

    /** Returns the status headers for a response to a client. */
    List<HttpField> headerFields(ClientConnection client) {
        boolean outOfService = clients.envoyHeaders() && published != null && !published.report().availability().status().acceptsTraffic();
        if (!outOfService && !client.wantsMetrics()) {
            return List.of();
        }
        List<HttpField> fields = new ArrayList<>(2);
        if (outOfService) {
            fields.add(FAIL_HEALTH_CHECK);
        }
        if (client.wantsMetrics()) {
            fields.add(new HttpField(METRICS_RESPONSE_HEADER, metrics));
        }
        return fields;
    }
}
