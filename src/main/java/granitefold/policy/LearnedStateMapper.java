package granitefold.policy;

import granitefold.Dispatcher;
import granitefold.recovery.LearnedState;
import java.util.List;
import java.util.stream.LongStream;

/**
 * Exports what an instance has learned as a value, and imports that of a previous process. Makes no
 * decisions.
 */
final class LearnedStateMapper {
    private LearnedStateMapper() { }

    static LearnedState export(PolicyState state, SlowStartBudget slowStart, long now) {
        List<LearnedState.Kind> kinds = state.kindSpeeds.entrySet().stream()
                .map(e -> new LearnedState.Kind(e.getKey(), e.getValue().sum, e.getValue().count,
                state.kindSlots.getOrDefault(e.getKey(), 0))).toList();
        List<LearnedState.Worker> workers = state.workers.values().stream()
                .filter(w -> w.state != Dispatcher.State.GONE)
                .map(w -> new LearnedState.Worker(w.id, w.kind, w.startedAt, w.connectFailedAt, w.speed.sum,
                w.speed.count, w.slotsSeen, slowStart.sentWorkUs(w, now), w.sentKeys())).toList();
        List<LearnedState.Bucket> buckets = state.buckets.entrySet().stream()
                .map(e -> new LearnedState.Bucket(e.getKey(),
                LongStream.of(e.getValue().used).boxed().toList(), e.getValue().credited,
                e.getValue().refilledAt)).toList();
        return new LearnedState(now, state.fetchUs, state.keptKeys, state.meanWorkUs, state.hintsSeen, kinds,
                workers, buckets, List.of());
    }

    static void restore(PolicyState state, Admission admission, long now, LearnedState previous) {
        if (previous.works() > state.hintsSeen) {
            state.meanWorkUs = previous.meanWork();
            state.hintsSeen = previous.works();
            state.fetchUs = previous.fetchUs();
            state.keptKeys = previous.kept();
        }
        for (LearnedState.Kind kind : previous.kinds()) {
            restore(state.kindSpeeds.computeIfAbsent(kind.kind(),
                    x -> new SpeedEstimate(WaitEstimator.KIND_SPEED_DECAY)), kind.sum(), kind.weight());
            state.kindSlots.merge(kind.kind(), kind.slots(), Math::max);
        }
        for (LearnedState.Worker learned : previous.workers()) {
            TrackedWorker worker = state.workers.get(learned.id());
            if (worker != null) {
                restore(worker.speed, learned.sum(), learned.weight());
                worker.slotsSeen = Math.max(worker.slotsSeen, learned.slots());
                worker.restoreKeys(learned.kept());
                worker.connectFailedAt = Math.max(worker.connectFailedAt, Math.min(now, learned.lostAt()));
                if (learned.work() > 0) {
                    // counted as sent just now, so that a slow-start budget is never spent twice
                    worker.slowStartSends.addLast(new double[] {now, learned.work()});
                }
            }
        }
        for (LearnedState.Bucket old : previous.buckets()) {
            TokenBucket bucket = admission.bucket(old.tenant(), now);
            for (int owner = 0; bucket != null
                    && owner < Math.min(bucket.used.length, old.used().size()); owner++) {
                // what this process has used comes on top, as for a previous process's count from gossip
                bucket.merge(owner, old.used().get(owner)
                        + (owner == state.settings.selfIndex() ? bucket.usedSinceStart : 0), 0);
            }
            if (bucket != null) {
                double elapsedS = Math.max(0, now - old.refilledAt()) / 1e6;
                bucket.merge(0, 0, Math.min(old.credited() + bucket.ratePerS * elapsedS,
                        bucket.totalUsed + bucket.capacity));
            }
        }
    }

    /** Adds a speed learned by a previous process, with the weight that it still has. */
    private static void restore(SpeedEstimate speed, double sum, double weight) {
        speed.sum += sum;
        speed.count += weight;
    }
}
