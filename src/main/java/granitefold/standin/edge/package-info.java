/**
 * Relays on the edges between processes that inject network faults: delay, loss, duplication, reordering, cuts in one or both
 * directions, limited throughput, resets. One thread moves all bytes. The relays do not interpret the bytes.
 */
package granitefold.standin.edge;
