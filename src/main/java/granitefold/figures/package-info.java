/**
 * What this process has done since its start, counted once, and how it stands: one pure value, so that dispatchers can be
 * compared by it. No I/O, no clock, no threads; who asks for it is in {@code granitefold.net.checks}.
 */
package granitefold.figures;
