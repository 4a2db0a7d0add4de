package granitefold.standin.world;

/**
 * The properties of an emulated worker.
 *
 * @param slots number of slots
 * @param speed seconds of work that a slot does per second, after the slow start
 * @param queueLimit maximum number of queued jobs; further jobs are rejected
 * @param slowStartFrom share of its speed at the beginning of the slow start
 * @param slowStartUs duration of the slow start
 * @param overloadMultiple a worker in slow start crashes when it is sent more than this multiple of its present capacity
 * @param overloadWindowUs the window over which that load is counted
 * @param meanWorkUs work of a mean job, the unit of that load
 * @param cachedKeys capacity of its cache, in keys; 0: jobs need no cached data
 * @param fetchUs duration of a cache miss, during which the job holds its slots
 */
public record WorkerSpec(int slots, double speed, int queueLimit, double slowStartFrom, long slowStartUs, double overloadMultiple,
        long overloadWindowUs, double meanWorkUs, int cachedKeys, long fetchUs) {
}
