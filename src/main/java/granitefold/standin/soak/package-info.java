/**
 * The soak test: fleets of real processes under random, overlapping faults. Each test run is generated from its seed, and the
 * history checker decides whether it violated a rule.
 */
package granitefold.standin.soak;
