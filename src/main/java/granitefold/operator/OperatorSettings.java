package granitefold.operator;

import granitefold.availability.AvailabilitySettings;
import granitefold.core.OptionalFeatures;
import granitefold.health.HealthSettings;
import granitefold.recovery.LearnedStateAgingSettings;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Set;

/**
 * What the operator has set. A part that is off is null.
 *
 * @param availability the machine's figures, used where a part below needs them
 * @param health probes and ejection of workers
 */
public record OperatorSettings(Log log, Agent agent, Http http, Control control, Clients clients, AvailabilitySettings availability,
        HealthSettings health, Probe probe, State state) {
    /** Everything off: the platform's start. */
    public static final OperatorSettings NONE = new OperatorSettings(new Log(false, false), null, null, null,
            new Clients(false, Set.of(), false, false), AvailabilitySettings.DEFAULTS, null, new Probe("/healthz"), null);

    /** Eight connections, the listener and the lock; a selector's own. */
    private static final int CONTROL_DESCRIPTORS = 10, SELECTOR_DESCRIPTORS = 3;

    /** {@code json}: an object a line instead of text; {@code requests}: what becomes of each request and connection is told. */
    public record Log(boolean json, boolean requests) { }

    /**
     * Bounds of a listener for checks.
     *
     * @param connections most connections open at once
     * @param perS most connections accepted a second; further ones wait in the backlog
     * @param timeoutUs longest life of a connection, idle or not
     */
    public record ListenerLimits(int maxConnections, int maxConnectionsPerS, long timeoutUs) { }

    /** HAProxy's agent-check; {@code readyUs}: how long {@code ready} is said after a start or a withdrawn drain. */
    public record Agent(InetSocketAddress listen, ListenerLimits limits, long announceReadyUs) { }

    /** Checks over HTTP; {@code drainStatus}: what a draining dispatcher answers, 404 or 503. */
    public record Http(InetSocketAddress listen, ListenerLimits limits, int drainStatus) { }

    public record Control(Path socket) { }

    /** {@code from}: addresses that may send a PROXY header; empty: any. */
    public record Clients(boolean proxyHeaderRequired, Set<InetAddress> proxySources, boolean envoyHeaders, boolean loadMetrics) { }

    /** Where what was learned is kept: folder, how often it is written, and how many generations. */
    public record State(Path directory, long intervalUs, int generations) { }

    /** How a worker is probed over HTTP: a GET of this path must be answered by 200. */
    public record Probe(String path) { }

    /** There is a listener to open. */
    public boolean hasCheckListener() {
        return agent != null || http != null || control != null;
    }

    /** Something tells how the dispatcher stands. */
    public boolean publishesAvailability() {
        return hasCheckListener() || clients.envoyHeaders() || clients.loadMetrics();
    }

    /** Descriptors that checks and probes may hold at the most. */
    public int maxDescriptors() {
        return (agent == null ? 0 : agent.limits().maxConnections() + 1) + (http == null ? 0 : http.limits().maxConnections() + 1)
                + (control == null ? 0 : CONTROL_DESCRIPTORS) + (hasCheckListener()
                ? SELECTOR_DESCRIPTORS : 0) + (health != null && health.probesEnabled() ? health.maxConcurrentProbes() : 0);
    }

    /** What the core takes of it; {@code probing}: whether the platform allows probes. */
    public OptionalFeatures extras(boolean probing) {
        HealthSettings h = health;
        if (h != null && h.probesEnabled() && !probing) {
            h = h.ejectAfterFailures() == 0 ? null : new HealthSettings(false, h.intervalUs(), h.jitter(), h.timeoutUs(), h.rise(),
                    h.fall(), h.maxConcurrentProbes(), h.panicShare(), h.slowStart(), h.ejectAfterFailures(), h.ejectUs(), h.maxEjectUs(),
                    h.maxEjectedShare());
        }
        return new OptionalFeatures(publishesAvailability() ? availability : null, h,
                state == null ? null : new OptionalFeatures.Persistence(state.intervalUs(), LearnedStateAgingSettings.DEFAULTS), false, log.requests());
    }
}
