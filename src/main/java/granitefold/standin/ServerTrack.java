package granitefold.standin;

/**
 * What a balancer holds of one server: pure, driven by checks and by what became of requests. The health counter is
 * HAProxy's: from 0 to rise + fall - 1, up from rise on.
 */
final class ServerTrack {
    private static final int FULL = 100;

    private final CheckRules rules;
    private int health;
    private boolean agentDown;
    private String admin = "ready";
    private boolean stopping;
    private boolean degraded;
    private int weight = FULL;
    private int maxconn = Integer.MAX_VALUE;
    private long restsUntil;
    private boolean hurry;

    ServerTrack(CheckRules rules) {
        this.rules = rules;
        // HAProxy takes a server for up until a check has failed
        health = rules.rise() + rules.fall() - 1;
    }

    /** Answer of an HTTP check; 0: none came, or no connection. */
    void checked(int status, boolean saysDegraded, boolean saysFail) {
        if (rules.envoy()) {
            degraded = saysDegraded;
        }
        stopping = rules.disableOn404() && status == 404 && up();
        if (rules.envoy() && saysFail) {
            failNow();
        } else if (status >= 200 && status < 400 || stopping) {
            // HAProxy, up but failing: one good check restores all
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
        hurry = false;
    }

    /** Answer of the agent; null: it could not be asked, which says nothing (manual, "agent-check"). */
    void agent(AgentReply reply) {
        if (reply != null) {
            weight = reply.weight() >= 0 ? reply.weight() : weight;
            maxconn = reply.maxconn() >= 0 ? Math.max(1, reply.maxconn()) : maxconn;
            agentDown = reply.up() == null ? agentDown : !reply.up();
            admin = reply.admin() == null ? admin : reply.admin();
        }
    }

    /** A request could not be delivered, or was answered with word to fail the host. */
    void failed(long now) {
        hurry = rules.observe();
        if (rules.failTimeout() > 0) {
            restsUntil = now + rules.failTimeout();
        }
    }

    void failNow() {
        if (rules.envoy()) {
            health = 0;
        }
    }

    private boolean up() {
        return health >= rules.rise();
    }

    /** New traffic may go there. */
    boolean eligible(long now) {
        return up() && !agentDown && admin.equals("ready") && !stopping && now >= restsUntil && weight > 0;
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

    /** When the next check is due, counted from the last. */
    long interval() {
        boolean sure = health == 0 || health == rules.rise() + rules.fall() - 1;
        return sure && !hurry ? rules.inter() : rules.fastinter();
    }
}
