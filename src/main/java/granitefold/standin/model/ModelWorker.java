package granitefold.standin.model;

import granitefold.Dispatcher.Outcome;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

/** A simulated worker: slots of equal speed and a bounded queue. */
final class ModelWorker {
    static final int SLOTS = 5;
    static final long NETWORK_US = 300;
    private static final int MAX_QUEUED = 50;
    private static final double[] SPEEDS = {0.9, 1.8};
    private static final double SPEED_SPREAD = 0.1, RUN_SPREAD = 0.3;

    final long id;
    final int kind;
    final double speed;
    private final VirtualTime time;
    private final RandomGenerator random;
    private final Deque<ModelAttempt> queue = new ArrayDeque<>();
    private int busy;

    ModelWorker(long id, int kind, VirtualTime time, RandomGenerator random) {
        this.id = id;
        this.kind = kind;
        this.time = time;
        this.random = random;
        speed = SPEEDS[kind] * Math.exp(SPEED_SPREAD * random.nextGaussian());
    }

    void submit(ModelAttempt attempt) {
        if (busy < SLOTS) {
            startJob(attempt);
        } else if (queue.size() < MAX_QUEUED) {
            queue.add(attempt);
        } else {
            time.after(NETWORK_US, () -> attempt.ended(Outcome.FULL));
        }
    }

    private void startJob(ModelAttempt attempt) {
        busy++;
        time.after(NETWORK_US, attempt::started);
        double noise = Math.exp(RUN_SPREAD * random.nextGaussian() - RUN_SPREAD * RUN_SPREAD / 2);
        time.after((long) (attempt.request.workUs / speed * noise), () -> endJob(attempt));
    }

    private void endJob(ModelAttempt attempt) {
        busy--;
        time.after(NETWORK_US, () -> attempt.ended(Outcome.SERVED));
        while (busy < SLOTS && !queue.isEmpty()) {
            ModelAttempt next = queue.remove();
            if (!next.cancelled()) {
                startJob(next);
            }
        }
    }
}
