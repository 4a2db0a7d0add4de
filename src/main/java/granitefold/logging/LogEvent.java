package granitefold.logging;

import java.util.List;

/**
 * All events that the program logs, with the names of their fields. They are written as text or, if the operator has
 * configured it, as one JSON object per line. Events of level {@link Level#REQUEST} are off by default.
 * docs/ON-CALL.md describes how to respond to each event.
 */
public enum LogEvent {
    LISTENING("listening", Level.INFO, "listening on {}", "address"),
    PHASE("phase", Level.INFO, "phase: {}", "phase"),
    DISCOVERY_LIST("discovery.list", Level.INFO, "discovery: list {} {}, {} workers up", "version", "news", "up"),
    DISCOVERY_REFUSED("discovery.refused", Level.WARN, "discovery: list not taken in, the last one stands: {}", "reason"),
    DISCOVERY_LEFT_OUT("discovery.left.out", Level.WARN, "discovery: {} workers left out, no more than {} are known at once", "workers", "limit"),
    DISCOVERY_ENDED("discovery.ended", Level.INFO, "discovery: watch ended: {}", "reason"),
    CONFIGURATION_READ("configuration.read", Level.INFO, "configuration: reloaded, discovery at {}", "discovery"),
    CONFIGURATION_KEPT("configuration.kept", Level.WARN, "configuration: kept as it was: {}", "reason"),
    RELOAD_OFF("reload.off", Level.WARN, "configuration: SIGHUP was ignored when this process was started (by nohup?), so nothing is read anew"),
    OPERATOR_READ("operator.read", Level.INFO, "operator: reloaded from {}", "file"),
    OPERATOR_KEPT("operator.kept", Level.WARN, "operator: kept as it was: {}", "reason"),
    OPERATOR_RESTART("operator.restart", Level.WARN, "operator: {} takes effect at the next start", "key"),
    SIBLINGS_FOREIGN("siblings.foreign", Level.WARN, "siblings: words of other settings than ours come from {}, and are not used",
            "address"),
    SIBLINGS_LOST("siblings.lost", Level.WARN, "siblings: cannot listen on {}: {}", "address", "reason"),
    OTHER_PROCESSES_UNKNOWN("company.unknown", Level.WARN, "upgrade: cannot detect other processes of this instance by {}: {}", "file", "reason"),
    WARM_UP_DONE("warmed", Level.INFO, "upgrade: another process is serving, warmed up with {} synthetic requests in {} ms", "requests", "ms"),
    HAND_OVER_SENT("handed.over", Level.INFO, "upgrade: handed over the learned state of {} workers and {} buckets to a new process", "peers",
            "buckets"),
    HAND_OVER_RECEIVED("inherited", Level.INFO, "upgrade: took over what the old version learned of {} workers and {} buckets", "peers",
            "buckets"),
    HAND_OVER_FAILED("not.inherited", Level.WARN, "upgrade: learned state not handed over: {}", "reason"),
    REPLACEMENT_SERVING("relieved", Level.INFO, "upgrade: another process is serving at {}, clients are moved to it", "address"),
    AVAILABILITY("availability", Level.INFO, "availability: {} to {}, weight {}: {}", "from", "to", "weight", "reason"),
    CHECKS_LISTENING("checks.listening", Level.INFO, "checks: {} on {}", "front", "address"),
    CHECKS_FAILED("checks.failed", Level.WARN, "checks: {} cannot listen on {}: {}", "front", "address", "reason"),
    CHECKS_CONNECTION_EVICTED("checks.crowded", Level.WARN, "checks: {} closed its oldest connection to accept another one", "front"),
    CHECKS_REFUSED("checks.refused", Level.INFO, "checks: {} rejected input from {}: {}", "front", "address", "reason"),
    CONTROL("control", Level.INFO, "control: {}", "command"),
    CLIENT_REFUSED("client.refused", Level.INFO, "client: {} refused: {}", "address", "reason"),
    WORKER_HEALTH("peer.health", Level.INFO, "worker: {} is {}: {}", "peer", "health", "reason"),
    WORKER_RESPONSE_REFUSED("peer.response", Level.WARN, "worker: the response of {} is not read on: {}", "peer", "reason"),
    WORKER_PANIC("peer.panic", Level.WARN, "workers: {} of {} appear to be down, so health results are ignored", "down", "ready"),
    PROBES_OFF("probes.off", Level.WARN, "probes: off, {}", "reason"),
    STATE_RECOVERED("state.recovered", Level.INFO, "state: recovered, {} ms old: {} workers, {} buckets, {} keys", "age_ms",
            "peers", "buckets", "keys"),
    STATE_DROPPED("state.dropped", Level.INFO, "state: dropped {}", "what"),
    STATE_PROBLEM("state.problem", Level.WARN, "state: {}", "problem"),
    STATE_EMPTY("state.empty", Level.INFO, "state: nothing to recover in {}", "folder"),
    KEEPER("keeper", Level.INFO, "keeper: {}", "what"),
    KEEPER_PROBLEM("keeper.problem", Level.WARN, "keeper: {}", "problem"),
    ROLLOUT("rollout", Level.INFO, "rollout: {}", "what"),
    ROLLOUT_PROBLEM("rollout.problem", Level.WARN, "rollout: {}", "problem"),
    REQUEST_TAKEN("request.taken", Level.REQUEST, "request {}: taken as {} of client {}, class {}, {} us left", "txn", "request", "client", "class",
            "left_us"),
    REQUEST_ANSWERED("request.answered", Level.REQUEST, "request {}: answered: {}", "txn", "answer"),
    REQUEST_ABANDONED("request.abandoned", Level.REQUEST, "request {}: client disconnected", "txn"),
    ATTEMPT_BEGUN("attempt.begun", Level.REQUEST, "request {}: attempt {} to {} on connection {}", "txn", "attempt", "worker", "connection"),
    ATTEMPT_SENT("attempt.sent", Level.REQUEST, "request {}: attempt {} is sent, {} us to wait", "txn", "attempt", "wait_us"),
    ATTEMPT_ENDED("attempt.ended", Level.REQUEST, "request {}: attempt {} ended: {}", "txn", "attempt", "outcome"),
    CLIENT_OPENED("client.opened", Level.REQUEST, "client {}: connected", "client"),
    CLIENT_RECEIVING("client.receiving", Level.REQUEST, "client {}: part of a request has arrived, {} bytes are reserved for it", "client", "bytes"),
    CLIENT_ANSWERED("client.answered", Level.REQUEST, "client {}: answered {} without a job", "client", "status"),
    CLIENT_CLOSED("client.closed", Level.REQUEST, "client {}: closed: {}", "client", "reason"),
    WORKER_CLOSED("worker.closed", Level.REQUEST, "worker connection {}: closed: {}", "connection", "reason"),
    MEMORY_REFUSED("memory.refused", Level.WARN, "memory: no room for {} of {} bytes, {} of {} bytes are held", "use", "bytes", "held", "limit"),
    LOOP_SLOW("loop.slow", Level.WARN, "event loop: busy for {} ms without a look at its sockets: {}", "ms", "turns"),
    RULE_BROKEN("rule.broken", Level.ERROR, "rule broken: {}: {}", "rule", "what"),
    INTERNAL_ERROR("internal.error", Level.ERROR, "internal error on {}", "what"),
    SUPPRESSED_COUNT("repeated", Level.INFO, "the last line of {} stands for {} more", "event", "count");

    /** Severity of an event. */
    public enum Level {
        INFO, WARN, ERROR,
        /** Event of a single request or connection: written as INFO if the operator has enabled it, without a rate limit. */
        REQUEST
    }

    private final String id;
    private final Level level;
    private final String text;
    private final List<String> fields;

    LogEvent(String id, Level level, String text, String... fields) {
        this.id = id;
        this.level = level;
        this.text = text;
        this.fields = List.of(fields);
    }

    /** Returns the name in JSON lines, which does not change between versions. */
    public String id() {
        return id;
    }

    public Level level() {
        return level;
    }

    /** Returns the text of the line, with {@code {}} for each field. */
    public String text() {
        return text;
    }

    /** Returns the names of the fields, in the order of the placeholders. */
    public List<String> fields() {
        return fields;
    }
}
