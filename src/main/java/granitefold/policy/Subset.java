package granitefold.policy;

import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.State;
import granitefold.Dispatcher.Worker;
import java.util.ArrayList;
import java.util.List;

/**
 * Maintains the list of workers and the subset of them that this dispatcher prefers. A change of the list is
 * recorded at once, at a cost that grows with the change; the subset follows before the next decision.
 */
record Subset(PolicyState state, SlowStartBudget slowStart) {
    /** Number of dispatchers that share a worker (in most fleets all), and the minimum size of a subset. */
    static final double DISPATCHERS_PER_WORKER = 16, MIN_SUBSET_SIZE = 6;
    /** First and longest pause before the list is watched again after a failed call. */
    static final long FIRST_WATCH_RETRY_US = 200_000, MAX_WATCH_RETRY_US = 3_000_000;
    /** The most removed workers that wait for the next decision: without decisions they would add up. */
    private static final int MAX_PENDING_REMOVALS = 1_000;
    /** Orders are sorted anew where more than one worker in this many has changed. */
    private static final int SORT_SHARE = 8;

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
            state.totalSize = 0;
        }
        for (Worker entry : entries) {
            TrackedWorker worker = state.workers.computeIfAbsent(entry.id(), TrackedWorker::new);
            state.totalSize -= listedSize(worker);
            worker.update(entry);
            state.totalSize += listedSize(worker);
        }
        state.maxTotalSize = Math.max(state.maxTotalSize, state.totalSize);
        if (update != ListUpdate.CHANGES) {
            List.copyOf(state.workers.values()).forEach(this::forgetIfGone);
        } else {
            entries.forEach(entry -> forgetIfGone(state.workers.get(entry.id())));
        }
        state.subsetOutdated = true;
        if (state.removedWorkers.size() > MAX_PENDING_REMOVALS) {
            refresh(now);
        }
    }

    private static double listedSize(TrackedWorker worker) {
        return worker.state == null || worker.state == State.GONE ? 0 : worker.size;
    }

    /** Forgets a worker that has left the list, unless jobs of ours are still open there. */
    private void forgetIfGone(TrackedWorker worker) {
        if (worker != null && worker.state == State.GONE && worker.openAttempts.isEmpty()) {
            state.workers.remove(worker.id);
            if (worker.inOrders) {
                state.removedWorkers.add(worker);
            }
        }
    }

    /** Brings the subset in line with the list; called before each decision. */
    void refresh(long now) {
        if (!state.subsetOutdated) {
            return;
        }
        state.subsetOutdated = false;
        List.copyOf(state.workers.values()).forEach(this::forgetIfGone);
        List<TrackedWorker> listed = new ArrayList<>(state.workers.size());
        List<TrackedWorker> added = new ArrayList<>();
        List<TrackedWorker> removed = new ArrayList<>(state.removedWorkers);
        state.removedWorkers.clear();
        for (TrackedWorker worker : state.workers.values()) {
            boolean isListed = worker.state != State.GONE;
            if (isListed) {
                listed.add(worker);
            }
            if (isListed != worker.inOrders) {
                (isListed ? added : removed).add(worker);
            }
        }
        if (!added.isEmpty() || !removed.isEmpty()) {
            updateOrders(listed, added, removed);
            assignSubset(listed.size());
        }
        state.preferred = listed.stream().filter(w -> w.inSubset || slowStart.inSlowStart(w, now)).toList();
    }

    private int subsetSize(int count) {
        return (int) Math.min(count,
                Math.max(MIN_SUBSET_SIZE, Math.ceil(DISPATCHERS_PER_WORKER * count / state.siblings)));
    }

    /** Returns the number of orders that are used up when each dispatcher has taken its subset. */
    private int orderCount(int count) {
        return count == 0 ? 0 : (state.siblings * subsetSize(count) + count - 1) / count;
    }

    private void updateOrders(List<TrackedWorker> listed, List<TrackedWorker> added,
            List<TrackedWorker> removed) {
        removed.forEach(TrackedWorker::leaveOrders);
        added.forEach(worker -> worker.inOrders = true);
        int needed = orderCount(listed.size());
        while (state.orders.size() > needed) {
            state.orders.remove(state.orders.size() - 1);
        }
        boolean sort = (added.size() + removed.size()) * SORT_SHARE > listed.size();
        for (ShuffledOrder order : state.orders) {
            if (sort) {
                order.set(listed);
            } else {
                removed.forEach(order::remove);
                added.forEach(order::add);
            }
        }
        while (state.orders.size() < needed) {
            ShuffledOrder order = new ShuffledOrder(state.orders.size());
            order.set(listed);
            state.orders.add(order);
        }
    }

    /**
     * Deterministic subsetting: each dispatcher in turn takes the next few workers of one shuffled order, and
     * of another when that is used up, so that all workers are shared by equally many. In a small fleet every
     * dispatcher takes all workers. Subsets keep connections few, and let a load report reach every
     * dispatcher it concerns. The drawback: less choice.
     */
    private void assignSubset(int count) {
        int subsetSize = subsetSize(count);
        for (TrackedWorker worker : state.workers.values()) {
            worker.sharingSiblings.clear();
            worker.inSubset = false;
        }
        for (int i = 0; i < state.siblings * subsetSize; i++) {
            TrackedWorker worker = state.orders.get(i / count).get(i % count);
            int dispatcher = i / subsetSize;
            if (dispatcher == state.settings.selfIndex()) {
                worker.inSubset = true;
            } else {
                worker.sharingSiblings.add(dispatcher);
            }
        }
    }
}
