package granitefold.rollout;

/**
 * What a keeper says of its dispatcher.
 *
 * @param seen the latest order it has seen
 * @param done the latest order that it has carried out
 * @param failed the latest order that it could not carry out, with the reason; {@link Order#NONE} and empty where there is none
 * @param label version that serves, empty where none does
 * @param serving a process serves
 * @param crashes how often a process that served ended by itself, since the keeper's folder was made
 * @param sample figures of the process that serves, or null
 */
public record SupervisorStatus(Order seen, Order done, Order failed, String why, String label, boolean serving, int crashes, Sample sample) {
}
