package granitefold.policy;

import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.State;
import granitefold.Dispatcher.Worker;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Maintains the list of workers and the subset of them that this dispatcher prefers. */
record Subset(PolicyState state, SlowStartBudget slowStart) {
    /** Number of dispatchers that share a worker (in most fleets all), and the minimum size of a subset. */
    static final double DISPATCHERS_PER_WORKER = 16, MIN_SUBSET_SIZE = 6;
    /** First and longest pause before the list is watched again after a failed call. */
    static final long FIRST_WATCH_RETRY_US = 200_000, MAX_WATCH_RETRY_US = 3_000_000;

    void listUpdated(long now, ListUpdate update, List<Worker> entries) {
        if (update == ListUpdate.FAILED) {
            // a dropped or failed watch: retry with growing pauses, or the known list becomes stale
            long pauseUs = state.watchRetryUs + state.random.nextLong(state.watchRetryUs);
            state.watchRetryUs = Math.min(MAX_WATCH_RETRY_US, state.watchRetryUs * 2);
            state.actions.timer(Math.min(pauseUs, Math.max(1, state.settings.rules().askWithinUs() / 2)),
                    DispatchPolicy.TIMER_WATCH);
            return;
        }
        if (update != ListUpdate.SAVED) {
            state.watchRetryUs = FIRST_WATCH_RETRY_US;
        }
        if (update != ListUpdate.CHANGES) {
            state.workers.values().forEach(w -> w.state = State.GONE);
        }
        for (Worker entry : entries) {
            state.workers.computeIfAbsent(entry.id(), TrackedWorker::new).update(entry);
        }
        state.workers.values().removeIf(w -> w.state == State.GONE && w.openAttempts.isEmpty());
        List<TrackedWorker> listed = new ArrayList<>(state.workers.values());
        listed.removeIf(w -> w.state == State.GONE);
        state.maxTotalSize = Math.max(state.maxTotalSize, listed.stream().mapToDouble(w -> w.size).sum());
        long listHash = listed.stream().mapToLong(w -> TrackedWorker.hash(w.id, 0)).sum();
        if (listHash != state.listHash) {
            state.listHash = listHash;
            assignSubset(listed);
        }
        state.preferred = listed.stream().filter(w -> w.inSubset || slowStart.inSlowStart(w, now)).toList();
    }

    /**
     * Deterministic subsetting: each dispatcher in turn takes the next few workers of one shuffled order, and
     * of another when that is used up, so that all workers are shared by equally many. In a small fleet every
     * dispatcher takes all workers. Subsets keep connections few, and let a load report reach every
     * dispatcher it concerns. The drawback: less choice.
     */
    private void assignSubset(List<TrackedWorker> listed) {
        int count = listed.size();
        int subsetSize = (int) Math.min(count,
                Math.max(MIN_SUBSET_SIZE, Math.ceil(DISPATCHERS_PER_WORKER * count / state.siblings)));
        for (TrackedWorker worker : state.workers.values()) {
            worker.sharingSiblings.clear();
            worker.inSubset = false;
        }
        for (int i = 0; i < state.siblings * subsetSize; i++) {
            int round = i / count;
            if (i % count == 0) {
                listed.forEach(w -> w.shuffleKey = TrackedWorker.hash(w.id, ~round));
                listed.sort(Comparator.comparingLong(w -> w.shuffleKey));
            }
            TrackedWorker worker = listed.get(i % count);
            worker.inSubset |= i / subsetSize == state.settings.selfIndex();
            if (i / subsetSize != state.settings.selfIndex()) {
                worker.sharingSiblings.add(i / subsetSize);
            }
        }
    }
}
