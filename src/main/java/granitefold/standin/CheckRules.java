package granitefold.standin;

/**
 * How a load balancer checks the health of a server; times in milliseconds.
 *
 * @param http path of the HTTP check, or null for none
 * @param agent whether the agent is checked, too
 * @param inter interval between checks
 * @param fastinter interval while a server is changing between up and down, or after a failed request
 * @param rise consecutive successful checks that bring a server up
 * @param fall consecutive failed checks that take a server down
 * @param timeout timeout of a check
 * @param disableOn404 HAProxy's {@code http-check disable-on-404}
 * @param envoy whether Envoy's headers count: degraded hosts are a lower tier, an immediate failure takes a host down at once
 * @param observe whether a failed request hastens the next check (HAProxy's {@code observe layer4})
 * @param failTimeout nginx's passive check: how long a server is not used after a failed request; 0: no passive check
 */
record CheckRules(String name, String http, boolean agent, long inter, long fastinter, int rise, int fall, long timeout,
        boolean disableOn404, boolean envoy, boolean observe, long failTimeout) {
    /** No checks at all. */
    static final CheckRules NONE = new CheckRules("none", null, false, 0, 0, 1, 1, 0, false, false, false, 0);
    /** The defaults of HAProxy's manual: inter 2s, rise 2, fall 3; agent-inter is inter. */
    static final CheckRules AGENT = new CheckRules("haproxy agent-check", "/readyz", true, 2000, 500, 2, 3, 1000, false,
            false, true, 0);
    static final CheckRules HTTP_404 = new CheckRules("haproxy disable-on-404", "/readyz", false, 2000, 500, 2, 3, 1000, true,
            false, true, 0);
    /** Envoy has no defaults for these; the examples of its documentation use one second and thresholds of 2 and 3. */
    static final CheckRules ENVOY = new CheckRules("envoy", "/readyz", false, 1000, 500, 2, 3, 1000, false, true, false, 0);
    /** A plain HTTP check as cloud load balancers have it, with the shortest usual interval. */
    static final CheckRules CLOUD = new CheckRules("cloud http check", "/readyz", false, 1000, 1000, 2, 2, 1000, false, false,
            false, 0);
    /** nginx's upstream: max_fails=1, fail_timeout=10s. */
    static final CheckRules NGINX = new CheckRules("nginx passive", null, false, 0, 0, 1, 1, 0, false, false, false, 10_000);
}
