package granitefold.standin;

/**
 * How a balancer checks a server; times in milliseconds.
 *
 * @param http path of an HTTP check, or null
 * @param agent whether it asks the agent too
 * @param inter between checks; {@code fastinter} while a server is on its way up or down, or after a failed request
 * @param rise checks in a row that bring a server up, {@code fall} that take it down
 * @param disableOn404 HAProxy's {@code http-check disable-on-404}
 * @param envoy heed Envoy's headers: degraded hosts are a tier of their own, an immediate failure counts at once
 * @param observe a failed request hastens the next check (HAProxy's {@code observe layer4})
 * @param failTimeout nginx's passive check: after a failed request the server rests so long; 0: no such thing
 */
record CheckRules(String name, String http, boolean agent, long inter, long fastinter, int rise, int fall, long timeout,
        boolean disableOn404, boolean envoy, boolean observe, long failTimeout) {
    /** No checks at all. */
    static final CheckRules NONE = new CheckRules("none", null, false, 0, 0, 1, 1, 0, false, false, false, 0);
    /** The manual's defaults: inter 2s, rise 2, fall 3; agent-inter is inter. */
    static final CheckRules AGENT = new CheckRules("haproxy agent-check", "/readyz", true, 2000, 500, 2, 3, 1000, false,
            false, true, 0);
    static final CheckRules HTTP_404 = new CheckRules("haproxy disable-on-404", "/readyz", false, 2000, 500, 2, 3, 1000, true,
            false, true, 0);
    /** Envoy has no defaults for these; its documentation's examples use one second and thresholds of 2 and 3. */
    static final CheckRules ENVOY = new CheckRules("envoy", "/readyz", false, 1000, 500, 2, 3, 1000, false, true, false, 0);
    /** A plain HTTP check as cloud balancers have it, with the shortest usual interval. */
    static final CheckRules CLOUD = new CheckRules("cloud http check", "/readyz", false, 1000, 1000, 2, 2, 1000, false, false,
            false, 0);
    /** nginx's upstream: max_fails=1, fail_timeout=10s. */
    static final CheckRules NGINX = new CheckRules("nginx passive", null, false, 0, 0, 1, 1, 0, false, false, false, 10_000);
}
