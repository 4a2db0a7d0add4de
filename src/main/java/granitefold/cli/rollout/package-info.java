/**
 * The fronts of {@code granitefold.rollout}: the controller and its commands, the keeper of one dispatcher, the files that both keep, and
 * the words between them. It starts processes, reads and writes files and sockets; what follows from what is decided there.
 */
package granitefold.cli.rollout;
