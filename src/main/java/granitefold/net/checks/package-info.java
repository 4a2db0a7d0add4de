/**
 * Health checks for balancers and control for operators: agent-check, HTTP checks, control socket. They run on a selector
 * thread of their own, which exists only if one of them is configured, and read the state last published by the event loop.
 * So checks do not delay clients, and a stalled event loop is detected.
 */
package granitefold.net.checks;
