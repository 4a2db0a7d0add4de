package granitefold.standin;

/**
 * A load balancer's state of one server, updated by health checks and by the outcomes of requests. It does no I/O. The health
 * counter is HAProxy's: it ranges from 0 to rise + fall - 1, and the server is up from rise on.
 */
final class ServerState {
    private static final int FULL_WEIGHT = 100;

    private final CheckRules rules;
    private int health;
    private boolean agentDown;
    private String admin = "ready";
    private boolean stopping;
    private boolean degraded;
    private int weight = FULL_WEIGHT;
    private int maxconn = Integer.MAX_VALUE;
    private long unusableUntilMs;
    private boolean checkSoon;

    ServerState(CheckRules rules) {
        this.rules = rules;
        // HAProxy regards a server as up until a check has failed
        health = rules.rise() + rules.fall() - 1;
    }

    /** Handles the result of an HTTP check; {@code status} is 0 where there was no answer. */
    void httpChecked(int status, boolean degradedHeader, boolean failHeader) {
        if (rules.envoy()) {
            degraded = degradedHeader;
        }
        stopping = rules.disableOn404() && status == 404 && up();
        if (rules.envoy() && failHeader) {
            failImmediately();
        } else if (status >= 200 && status < 400 || stopping) {
            // as in HAProxy, one successful check restores the full health of a server that is up
            health = up() ? rules.rise() + rules.fall() - 1 : health + 1;
            if (health == rules.rise()) {
                health = rules.rise() + rules.fall() - 1;
            }
        } else if (health > 0) {
            health = health == rules.rise() ? 0 : health - 1;
            if (!up()) {
                health = 0;
            }
        }
        checkSoon = false;
    }

    /** Handles the reply of the agent; null, no reply, changes nothing (HAProxy's manual, "agent-check"). */
    void agentReplied(AgentReply reply) {
        if (reply != null) {
            weight = reply.weight() >= 0 ? reply.weight() : weight;
            maxconn = reply.maxconn() >= 0 ? Math.max(1, reply.maxconn()) : maxconn;
            agentDown = reply.up() == null ? agentDown : !reply.up();
            admin = reply.admin() == null ? admin : reply.admin();
        }
    }

    /** Handles a request that failed at this server. */
    void requestFailed(long nowMs) {
        checkSoon = rules.observe();
        if (rules.failTimeout() > 0) {
            unusableUntilMs = nowMs + rules.failTimeout();
        }
    }

    /** Takes the server down at once, after Envoy's header for an immediate failure. */
    void failImmediately() {
        if (rules.envoy()) {
            health = 0;
        }
    }

    private boolean up() {
        return health >= rules.rise();
    }

    /** Returns whether the server may be sent new requests. */
    boolean eligible(long nowMs) {
        return up() && !agentDown && admin.equals("ready") && !stopping && nowMs >= unusableUntilMs && weight > 0;
    }

    boolean degraded() {
        return degraded;
    }

    int weight() {
        return weight;
    }

    int maxconn() {
        return maxconn;
    }

    /** Returns the time from the last check to the next one, in milliseconds. */
    long intervalMs() {
        boolean stable = health == 0 || health == rules.rise() + rules.fall() - 1;
        return stable && !checkSoon ? rules.inter() : rules.fastinter();
    }
}
