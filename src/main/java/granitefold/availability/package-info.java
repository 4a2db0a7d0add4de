/**
 * Decides how much traffic this dispatcher should get: a pure state machine, from state, signals and time to the next
 * state, without I/O, clock or threads. {@code granitefold.net.checks} reports its result to balancers.
 */
package granitefold.availability;
