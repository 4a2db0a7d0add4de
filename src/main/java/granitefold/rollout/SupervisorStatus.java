package granitefold.rollout;

/**
 * Status of one dispatcher as its supervisor reports it. Written as JSON under the names of the components.
 *
 * @param seen the latest order received
 * @param done the latest order executed
 * @param failed the latest order that could not be executed, or {@link Order#NONE}
 * @param why the reason of that failure, empty for none
 * @param label label of the serving version, empty if no process serves
 * @param serving whether a process serves
 * @param crashes number of serving processes that exited unexpectedly since the supervisor's folder was created
 * @param sample metrics of the serving process, or null
 */
public record SupervisorStatus(Order seen, Order done, Order failed, String why, String label, boolean serving, int crashes, Sample sample) {
}
