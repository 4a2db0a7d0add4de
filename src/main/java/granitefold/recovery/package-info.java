/**
 * What a dispatcher has learned, as a value that survives a restart, and how that value ages. Pure: no files, no clock;
 * {@code granitefold.state} reads and writes it.
 */
package granitefold.recovery;
