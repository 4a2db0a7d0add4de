package granitefold.figures;

/**
 * What the event loop of a process was busy with since the start of the process.
 *
 * @param discoveryUs time spent on what discovery has sent, in microseconds
 * @param workersUs time spent on what workers have sent, in microseconds
 * @param clientsUs time spent on what clients have sent, in microseconds
 * @param unfinishedTurns how often a connection had to stop reading before the end of its input
 * @param fullRounds how often connections had to wait for the next round since the time of one was used up
 * @param slowRounds rounds that took so long that they were logged
 * @param longestRoundUs the longest round, in microseconds
 */
public record LoopUse(long discoveryUs, long workersUs, long clientsUs, long unfinishedTurns, long fullRounds, long slowRounds,
        long longestRoundUs) {
    /** Of a loop that has not run. */
    public static final LoopUse NONE = new LoopUse(0, 0, 0, 0, 0, 0, 0);
}
