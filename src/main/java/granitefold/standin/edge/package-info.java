/**
 * Relays on the edges between processes, with faults: delay, loss, doubling, reordering, cuts in one way or both, slow
 * drips, resets. One thread moves all bytes. It knows nothing of what the bytes say.
 */
package granitefold.standin.edge;
