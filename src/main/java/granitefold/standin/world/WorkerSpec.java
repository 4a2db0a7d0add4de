package granitefold.standin.world;

/**
 * What a cocinero is.
 *
 * @param slots jobs' slots that run at a time
 * @param speed work that a slot does in a second, in seconds; warm
 * @param queueLimit jobs that wait at the most; more are turned away
 * @param slowStartFrom share of its speed at its start, at the least
 * @param slowStartUs from its start until it is warm
 * @param overloadMultiple it falls over when cold and sent more than so many times what it can do at that moment
 * @param overloadWindowUs counted over so long
 * @param meanWorkUs work of a mean job, in which that is counted
 * @param cachedKeys keys whose things it keeps; 0: jobs need nothing
 * @param fetchUs what fetching another one takes while the job holds its slots
 */
public record WorkerSpec(int slots, double speed, int queueLimit, double slowStartFrom, long slowStartUs, double overloadMultiple, long overloadWindowUs,
        double meanWorkUs, int cachedKeys, long fetchUs) {
}
