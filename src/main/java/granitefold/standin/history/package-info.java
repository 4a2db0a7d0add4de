/**
 * What those outside the dispatchers saw (clients, cocineros, relays, whoever sends signals), and a checker of the rules
 * over it. No word of a dispatcher's own is in it.
 */
package granitefold.standin.history;
