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
 * What the loop measures of itself, and what it last published for others to read. Made only where something tells how
 * the dispatcher stands.
 */
public final class StatusReporter {
    /** A client asks for load metrics on its answer by this request header, and gets them in that one. */
    static final String METRICS_WANTED = "endpoint-load-metrics-format", METRICS = "endpoint-load-metrics";
    /** Envoy, "Health checking": a host that answers with this is taken out at once, before the next check. */
    private static final HttpField LEAVE = new HttpField("x-envoy-immediate-health-check-fail", "true");

    /** What others see: the report and the moment at which it was published ({@link System#nanoTime}). */
    public record PublishedReport(StatusReport report, long nanos) {
        /** How long ago, in microseconds. */
        public long ageUs() {
            return (System.nanoTime() - nanos) / 1000;
        }
    }

    private final Clock clock;
    private final OperatorSettings.Clients clients;
    private final double cores;
    private final List<MemoryPoolMXBean> heap = ManagementFactory.getMemoryPoolMXBeans().stream()
            .filter(p -> p.getType() == MemoryType.HEAP && p.getCollectionUsage() != null).toList();
    private final com.sun.management.OperatingSystemMXBean system =
            (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    private long lagUs;
    private long cpuNs = system.getProcessCpuTime();
    private long measuredAt = System.nanoTime();
    private String metrics = "";
    private volatile PublishedReport published;

    StatusReporter(Clock clock, OperatorSettings.Clients clients, double cores) {
        this.clock = clock;
        this.clients = clients;
        this.cores = cores;
    }

    /** The last report; null before the first. From any thread. */
    public PublishedReport published() {
        return published;
    }

    /** The loop came to a wake-up that was asked for at this time. */
    void woken(long wakeAt) {
        // the select's own rounding up to a millisecond is no lag
        lagUs = Math.max(lagUs, clock.micros() - wakeAt - 1000);
    }

    ResourceUsage sample(double descriptorShare) {
        long used = 0;
        for (MemoryPoolMXBean pool : heap) {
            MemoryUsage after = pool.getCollectionUsage();
            used += after == null ? 0 : after.getUsed();
        }
        long nanos = System.nanoTime();
        long cpu = system.getProcessCpuTime();
        double share = (cpu - cpuNs) / (cores * Math.max(TimeUnit.MILLISECONDS.toNanos(1), nanos - measuredAt));
        cpuNs = cpu;
        measuredAt = nanos;
        ResourceUsage r = new ResourceUsage((double) used / Runtime.getRuntime().maxMemory(), descriptorShare, share, lagUs);
        lagUs = 0;
        return r;
    }

    void publish(StatusReport report) {
        published = new PublishedReport(report, System.nanoTime());
        if (clients.loadMetrics()) {
            metrics = LoadMetrics.text(report);
        }
    }

    /** Fields for an answer to a client. */
    List<HttpField> fields(ClientConnection client) {
        boolean leaves = clients.envoyHeaders() && published != null && !published.report().availability().status().acceptsTraffic();
        if (!leaves && !client.wantsMetrics()) {
            return List.of();
        }
        List<HttpField> fields = new ArrayList<>(2);
        if (leaves) {
            fields.add(LEAVE);
        }
        if (client.wantsMetrics()) {
            fields.add(new HttpField(METRICS, metrics));
        }
        return fields;
    }
}
