/**
 * Metrics of this process since its start, as one pure value by which dispatchers can be compared. No I/O, no clock, no
 * threads; {@code granitefold.net.checks} answers requests for them.
 */
package granitefold.figures;
