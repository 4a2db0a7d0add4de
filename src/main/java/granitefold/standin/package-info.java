/**
 * Stand-ins of the project's own for what surrounds a dispatcher: cocineros, discovery, a balancer with the checks of
 * HAProxy, Envoy and nginx, load. Loopback only. Tests and {@code examples/} use them; they are no part of the daemon's
 * jar.
 */
package granitefold.standin;
