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
 * Settings from the operator's file. A part that is off is null.
 *
 * @param availability settings of the availability state machine; they apply only if availability is published
 * @param health probes and ejection of workers
 */
public record OperatorSettings(Log log, Agent agent, Http http, Control control, Clients clients, AvailabilitySettings availability,
        HealthSettings health, Probe probe, State state) {
    /** Everything off, as when the platform starts the process without an operator's file. */
    public static final OperatorSettings NONE = new OperatorSettings(new Log(false, false), null, null, null,
            new Clients(false, Set.of(), false, false), AvailabilitySettings.DEFAULTS, null, new Probe("/healthz"), null);

    /** The control socket holds eight connections, the listener and the lock; a selector holds three descriptors of its own. */
    private static final int CONTROL_DESCRIPTORS = 10, SELECTOR_DESCRIPTORS = 3;

    /**
     * Logging.
     *
     * @param json one JSON object per line instead of text
     * @param requests whether the progress of each request and connection is logged
     */
    public record Log(boolean json, boolean requests) { }

    /**
     * Limits of a listener for checks.
     *
     * @param maxConnections maximum number of open connections
     * @param maxConnectionsPerS maximum number of connections accepted per second; further ones wait in the backlog
     * @param timeoutUs longest duration of a connection, idle or not
     */
    public record ListenerLimits(int maxConnections, int maxConnectionsPerS, long timeoutUs) { }

    /** HAProxy's agent-check; {@code announceReadyUs}: how long {@code ready} is sent after a start or a cancelled drain. */
    public record Agent(InetSocketAddress listen, ListenerLimits limits, long announceReadyUs) { }

    /** Checks over HTTP; {@code drainStatus}: status code of a draining dispatcher, 404 or 503. */
    public record Http(InetSocketAddress listen, ListenerLimits limits, int drainStatus) { }

    /** The Unix domain socket for the operator's commands. */
    public record Control(Path socket) { }

    /**
     * Client connections.
     *
     * @param proxySources addresses that may send a PROXY header; empty: any
     * @param envoyHeaders whether response headers inform Envoy when the dispatcher does not serve
     * @param loadMetrics whether ORCA load metrics are sent to clients that ask for them
     */
    public record Clients(boolean proxyHeaderRequired, Set<InetAddress> proxySources, boolean envoyHeaders, boolean loadMetrics) { }

    /** Where the learned state is stored, how often it is written, and how many generations are kept. */
    public record State(Path directory, long intervalUs, int generations) { }

    /** How a worker is probed over HTTP: a GET of this path must be answered with status 200. */
    public record Probe(String path) { }

    /** Whether there is any check listener to open. */
    public boolean hasCheckListener() {
        return agent != null || http != null || control != null;
    }

    /** Whether the availability is published in any form. */
    public boolean publishesAvailability() {
        return hasCheckListener() || clients.envoyHeaders() || clients.loadMetrics();
    }

    /** Returns the maximum number of descriptors that checks and probes use. */
    public int maxDescriptors() {
        return (agent == null ? 0 : agent.limits().maxConnections() + 1)
                + (http == null ? 0 : http.limits().maxConnections() + 1) + (control == null ? 0 : CONTROL_DESCRIPTORS)
                + (hasCheckListener() ? SELECTOR_DESCRIPTORS : 0) + (health != null && health.probesEnabled() ? health.maxConcurrentProbes() : 0);
    }

    /** Returns the settings for the core; {@code probing}: whether the platform allows probes. */
    public OptionalFeatures extras(boolean probing) {
        HealthSettings settings = health;
        if (settings != null && settings.probesEnabled() && !probing) {
            settings = settings.ejectAfterFailures() == 0 ? null : new HealthSettings(false, settings.intervalUs(), settings.jitter(),
                    settings.timeoutUs(), settings.rise(), settings.fall(), settings.maxConcurrentProbes(), settings.panicShare(),
                    settings.slowStart(), settings.ejectAfterFailures(), settings.ejectUs(), settings.maxEjectUs(),
                    settings.maxEjectedShare());
        }
        return new OptionalFeatures(publishesAvailability() ? availability : null, settings,
                state == null ? null : new OptionalFeatures.Persistence(state.intervalUs(), LearnedStateAgingSettings.DEFAULTS), false, log.requests());
    }
}
