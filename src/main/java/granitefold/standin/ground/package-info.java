/**
 * The proving ground: a fleet of real dispatchers as processes, the world round them, relays with faults on each edge, a
 * script of what goes wrong, and a report. {@link granitefold.standin.ground.GroundCommand} is its command line.
 */
package granitefold.standin.ground;
