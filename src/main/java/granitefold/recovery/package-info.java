/**
 * What a dispatcher learned, as a value that outlives it, and how that ages. Pure: no file, no clock; reading and writing
 * is {@code granitefold.state}'s.
 */
package granitefold.recovery;
