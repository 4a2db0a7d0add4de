/**
 * What balancers and operators ask: agent-check, checks over HTTP, control. All of it runs on a selector thread of its
 * own, which exists only where the operator has set one of them. It reads what the loop last published, so that no
 * number of checks takes a client's turn, and it can tell that the loop is silent.
 */
package granitefold.net.checks;
