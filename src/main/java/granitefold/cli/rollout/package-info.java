/**
 * Drivers of the state machines in {@code granitefold.rollout}: the controller and its commands, the supervisor of one dispatcher, their
 * files, and the protocol between them. This package does the I/O: processes, files and sockets.
 */
package granitefold.cli.rollout;
