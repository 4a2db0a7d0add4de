/**
 * Test doubles for the environment of a dispatcher: workers, discovery, a load balancer with the health checks of HAProxy,
 * Envoy and nginx, and load generators, all on loopback. Tests and {@code examples/} use them; they are not part of the
 * daemon's jar.
 */
package granitefold.standin;
