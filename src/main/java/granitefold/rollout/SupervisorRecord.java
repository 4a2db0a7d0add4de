package granitefold.rollout;

/**
 * What a keeper has to know when it comes back: kept before anything is done about it.
 *
 * @param seen the latest order it has seen
 * @param done the latest order that it has carried out
 * @param failed the latest that it could not carry out
 * @param why the reason
 * @param settled the version that serves, or is to serve again if the one that is wanted does not come up
 * @param wanted the version that is wanted
 * @param crashes how often a process that served ended by itself
 * @param lives processes that were ever started
 * @param serving number of the one that serves, 0 for none; any other one that is found has no business any more
 */
public record SupervisorRecord(Order seen, Order done, Order failed, String why, Version settled, Version wanted, int crashes, long lives,
        long serving) {
    /** Of a keeper that has just been set up. */
    public static SupervisorRecord initial(Version version) {
        return new SupervisorRecord(Order.NONE, Order.NONE, Order.NONE, "", version, version, 0, 0, 0);
    }
}
