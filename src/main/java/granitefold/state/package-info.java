/**
 * Persists the learned state: the file format, the directory, and the thread that writes. Files are versioned and
 * checksummed, and replaced atomically. How the state ages is decided by {@code granitefold.recovery}.
 */
package granitefold.state;
