/**
 * The dispatcher's core: a reducer that takes an event and the current time and returns effects. It owns the
 * request contexts, their attempts, the pool of worker connections, the timers and the lifecycle phases, and it drives
 * the decision module. It does no I/O, reads no clock and starts no threads; protocols live in the adapters.
 *
 * <p>{@link granitefold.core.Reducer} is the entry point; {@link granitefold.core.Event} and
 * {@link granitefold.core.Effect} are its input and output. Times are in microseconds of the clock that is passed to the reducer.
 */
package granitefold.core;
