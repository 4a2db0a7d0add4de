/**
 * How much traffic this dispatcher should get: one pure machine, (state, signals, now) to the next state. No I/O, no
 * clock, no threads; what says it to balancers is in {@code granitefold.net.checks}.
 */
package granitefold.availability;
