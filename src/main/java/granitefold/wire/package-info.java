/** Codecs: each message is decoded into a small typed value or encoded from one. This package does no network I/O. */
package granitefold.wire;
