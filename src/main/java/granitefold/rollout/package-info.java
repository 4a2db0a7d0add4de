/**
 * Staged rollout of a program version or its settings: the rollout's state machine, the statistical comparison of the new version with
 * the old one, and the state machine of the supervisor that runs one dispatcher. Pure: no I/O, clock, threads or random source; times
 * are microseconds passed in by the caller. The drivers are in {@code granitefold.cli.rollout}.
 */
package granitefold.rollout;
