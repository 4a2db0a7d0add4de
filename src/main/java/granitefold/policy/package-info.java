/**
 * The dispatch policy: which worker runs a job, when to retry, and what to refuse, with one file per concern.
 * It does no I/O, reads no clock, starts no threads and uses no randomness but a seeded generator. The rest
 * of the program uses it through {@code granitefold.Dispatcher}.
 */
package granitefold.policy;
