package granitefold.rollout;

/**
 * Persistent state of a supervisor, saved before the actions that follow from it. Written as JSON under the names of the components.
 *
 * @param seen the latest order received
 * @param done the latest order executed
 * @param failed the latest order that could not be executed
 * @param why the reason of that failure, empty for none
 * @param settled the version to run if the wanted one does not start
 * @param wanted the version of the latest order
 * @param crashes number of serving processes that exited unexpectedly
 * @param lives number of processes started so far
 * @param serving number of the serving process, 0 for none; any other process found after a restart is terminated
 */
public record SupervisorRecord(Order seen, Order done, Order failed, String why, Version settled, Version wanted, int crashes, long lives,
        long serving) {
    /** Returns the record of a new supervisor. */
    public static SupervisorRecord initial(Version version) {
        return new SupervisorRecord(Order.NONE, Order.NONE, Order.NONE, "", version, version, 0, 0, 0);
    }
}
