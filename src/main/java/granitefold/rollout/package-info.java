/**
 * A change of the program or its settings, in stages: what is compared, when it goes on, when it stops, and what a keeper does with
 * an order. Pure: no I/O, clock, threads or random source; times are microseconds that are handed in. The fronts are in
 * {@code granitefold.cli.rollout}.
 */
package granitefold.rollout;
