package granitefold.logging;

import java.util.List;

/**
 * Everything that the program logs, with the names of the fields: text by default, a JSON object a line where the
 * operator asks for it. What is told of single requests is off unless the
 * operator asks for it. docs/ON-CALL.md says what to do about each.
 */
public enum LogEvent {
    LISTENING("listening", Level.INFO, "listening on {}", "address"),
    PHASE("phase", Level.INFO, "phase: {}", "phase"),
    DISCOVERY_LIST("discovery.list", Level.INFO, "discovery: list {} {}, {} workers up", "version", "news", "up"),
    DISCOVERY_REFUSED("discovery.refused", Level.WARN, "discovery: list not taken in, the last one stands: {}", "reason"),
    DISCOVERY_ENDED("discovery.ended", Level.INFO, "discovery: watch ended: {}", "reason"),
    CONFIGURATION_READ("configuration.read", Level.INFO, "configuration: read anew, discovery at {}", "discovery"),
    CONFIGURATION_KEPT("configuration.kept", Level.WARN, "configuration: kept as it was: {}", "reason"),
    RELOAD_OFF("reload.off", Level.WARN, "configuration: SIGHUP was ignored when this process was started (by nohup?), so nothing is read anew"),
    OPERATOR_READ("operator.read", Level.INFO, "operator: read anew from {}", "file"),
    OPERATOR_KEPT("operator.kept", Level.WARN, "operator: kept as it was: {}", "reason"),
    OPERATOR_RESTART("operator.restart", Level.WARN, "operator: {} takes effect at the next start", "key"),
    SIBLINGS_FOREIGN("siblings.foreign", Level.WARN, "siblings: words of other settings than ours come from {}, and are not used",
            "address"),
    SIBLINGS_LOST("siblings.lost", Level.WARN, "siblings: cannot listen on {}: {}", "address", "reason"),
    OTHER_PROCESSES_UNKNOWN("company.unknown", Level.WARN, "upgrade: cannot tell who else serves, by {}: {}", "file", "reason"),
    WARM_UP_DONE("warmed", Level.INFO, "upgrade: another process serves, warmed up with {} made-up requests in {} ms", "requests", "ms"),
    HAND_OVER_SENT("handed.over", Level.INFO, "upgrade: a new version asked, told what was learned of {} workers and {} buckets", "peers",
            "buckets"),
    HAND_OVER_RECEIVED("inherited", Level.INFO, "upgrade: took over what the old version learned of {} workers and {} buckets", "peers",
            "buckets"),
    HAND_OVER_FAILED("not.inherited", Level.WARN, "upgrade: nothing is passed on of what was learned: {}", "reason"),
    REPLACEMENT_SERVING("relieved", Level.INFO, "upgrade: another process serves at {}, clients go over to it", "address"),
    AVAILABILITY("availability", Level.INFO, "availability: {} to {}, weight {}: {}", "from", "to", "weight", "reason"),
    CHECKS_LISTENING("checks.listening", Level.INFO, "checks: {} on {}", "front", "address"),
    CHECKS_FAILED("checks.failed", Level.WARN, "checks: {} cannot listen on {}: {}", "front", "address", "reason"),
    CHECKS_CONNECTION_EVICTED("checks.crowded", Level.WARN, "checks: {} closed its oldest connection for want of room", "front"),
    CHECKS_REFUSED("checks.refused", Level.INFO, "checks: {} refused what {} sent: {}", "front", "address", "reason"),
    CONTROL("control", Level.INFO, "control: {}", "command"),
    CLIENT_REFUSED("client.refused", Level.INFO, "client: {} refused: {}", "address", "reason"),
    WORKER_HEALTH("peer.health", Level.INFO, "worker: {} is {}: {}", "peer", "health", "reason"),
    WORKER_PANIC("peer.panic", Level.WARN, "workers: {} of {} look dead, so none is taken to be", "down", "ready"),
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
    REQUEST_ABANDONED("request.abandoned", Level.REQUEST, "request {}: its client has gone", "txn"),
    ATTEMPT_BEGUN("attempt.begun", Level.REQUEST, "request {}: attempt {} to {} on connection {}", "txn", "attempt", "worker", "connection"),
    ATTEMPT_SENT("attempt.sent", Level.REQUEST, "request {}: attempt {} is sent, {} us to wait", "txn", "attempt", "wait_us"),
    ATTEMPT_ENDED("attempt.ended", Level.REQUEST, "request {}: attempt {} ended: {}", "txn", "attempt", "outcome"),
    CLIENT_OPENED("client.opened", Level.REQUEST, "client {}: connected", "client"),
    CLIENT_CLOSED("client.closed", Level.REQUEST, "client {}: closed: {}", "client", "reason"),
    WORKER_CLOSED("worker.closed", Level.REQUEST, "worker connection {}: closed: {}", "connection", "reason"),
    RULE_BROKEN("rule.broken", Level.ERROR, "rule broken: {}: {}", "rule", "what"),
    INTERNAL_ERROR("internal.error", Level.ERROR, "internal error on {}", "what"),
    SUPPRESSED_COUNT("repeated", Level.INFO, "the last line of {} stands for {} more", "event", "count");

    /** How much it matters. */
    public enum Level {
        INFO, WARN, ERROR,
        /** Of one request or connection: written as INFO where the operator asks for it, and never left out for being many. */
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

    /** Its name in JSON lines; it does not change between versions. */
    public String id() {
        return id;
    }

    public Level level() {
        return level;
    }

    /** The line, with {@code {}} for each field. */
    public String text() {
        return text;
    }

    public List<String> fields() {
        return fields;
    }
}
