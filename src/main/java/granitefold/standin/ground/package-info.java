/**
 * The test bed: a fleet of dispatcher processes, simulated workers, discovery and clients, relays that inject faults on each edge,
 * a fault script, and a report. {@link granitefold.standin.ground.GroundCommand} is its command line.
 */
package granitefold.standin.ground;
