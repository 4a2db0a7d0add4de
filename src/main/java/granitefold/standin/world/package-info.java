/**
 * The emulated environment of the dispatchers: workers that are slow, in slow start, full, crash or hang, and a discovery
 * service with one agent per dispatcher. How a worker schedules jobs is a pure model; the server around it does the I/O.
 */
package granitefold.standin.world;
