package granitefold.core;

import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.State;
import granitefold.Dispatcher;
import granitefold.health.WorkerHealthTracker;
import granitefold.logging.LogEvent;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Applies worker lists of discovery and health changes to the known workers, and passes both on to the decision module. */
final class WorkerRegistry {
    /** The most workers that are known at once, each of which takes about 1 KiB; new ones beyond it are left out. */
    static final int MAX_WORKERS = 12_800;

    private final CoreContext core;
    /** The workers that drain because of an older list than the last accepted one. */
    private final List<Worker> drainedByOlderList = new ArrayList<>();
    /** The workers that have left the list while connections to them are open. */
    private final Set<Worker> departing = new HashSet<>();

    WorkerRegistry(CoreContext coreContext) {
        core = coreContext;
    }

    void listUpdated(ListUpdate update, WorkerList list) {
        List<Dispatcher.Worker> workers = new ArrayList<>();
        if (update != ListUpdate.CHANGES) {
            core.workers.values().forEach(worker -> worker.state = State.GONE);
        } else {
            revertDrains(workers);
        }
        drainedByOlderList.clear();
        // a whole list replaces the workers known before
        int known = update == ListUpdate.CHANGES ? core.workers.size() : 0;
        int leftOut = 0;
        for (WorkerList.Entry entry : list.entries()) {
            boolean isNew = update != ListUpdate.CHANGES || !core.workers.containsKey(Worker.id(entry.name()));
            if (isNew && known >= MAX_WORKERS) {
                leftOut++;
                continue;
            }
            known += isNew ? 1 : 0;
            Worker worker = core.workers.computeIfAbsent(Worker.id(entry.name()), id -> new Worker(entry.name()));
            if (!entry.address().equals(worker.address)) {
                core.pool.closeIdle(worker);
                worker.address = entry.address();
            }
            worker.state = entry.state();
            worker.listed = new Dispatcher.Worker(worker.id, entry.weight(), entry.state(), entry.startedAtUs(), entry.zone(),
                    entry.cell(), entry.kind());
            workers.add(core.health == null ? worker.listed : core.health.withOverlay(worker.listed));
        }
        if (leftOut > 0) {
            core.effects.add(new Effect.Log(LogEvent.DISCOVERY_LEFT_OUT, leftOut, MAX_WORKERS));
        }
        if (update == ListUpdate.CHANGES) {
            list.entries().forEach(entry -> closeUnlessReady(core.workers.get(Worker.id(entry.name()))));
        } else {
            core.workers.values().forEach(this::closeUnlessReady);
        }
        forgetDeparted();
        core.module.listUpdated(core.now, update, workers);
        core.effects.add(new Effect.Log(LogEvent.DISCOVERY_LIST, list.version(), update,
                readyCount()));
        if (core.health != null) {
            healthChanged(core.health.listUpdated(core.workers.values(), core.now));
        }
    }

    /** Takes back the drains by an older list, unless the new list repeats them. */
    private void revertDrains(List<Dispatcher.Worker> changed) {
        for (Worker worker : drainedByOlderList) {
            if (worker.state == State.DRAINING) {
                worker.state = worker.listed.state();
                changed.add(core.health == null ? worker.listed : core.health.withOverlay(worker.listed));
            }
        }
    }

    /** Closes the idle connections to a worker that takes no more requests. */
    private void closeUnlessReady(Worker worker) {
        if (worker != null && worker.state != State.READY) {
            core.pool.closeIdle(worker);
            if (worker.state == State.GONE) {
                departing.add(worker);
            }
        }
    }

    /** Forgets the workers that have left the list and have no open connections; one may also have come back. */
    private void forgetDeparted() {
        departing.removeIf(worker -> {
            boolean departed = worker.state == State.GONE && worker.open == 0;
            if (departed) {
                core.workers.remove(worker.id, worker);
            }
            return departed || worker.state != State.GONE;
        });
    }

    private long readyCount() {
        long ready = 0;
        for (Worker worker : core.workers.values()) {
            ready += worker.state == State.READY ? 1 : 0;
        }
        return ready;
    }

    /** Drains the workers that an older list does not show as ready, until the next accepted list. */
    void applyDrains(WorkerList olderList) {
        Set<String> readyNames = olderList.entries().stream().filter(entry -> entry.state() == State.READY).map(WorkerList.Entry::name)
                .collect(Collectors.toSet());
        Set<String> listedNames = olderList.entries().stream().map(WorkerList.Entry::name).collect(Collectors.toSet());
        List<Dispatcher.Worker> workers = new ArrayList<>();
        for (Worker worker : core.workers.values()) {
            if (worker.state == State.READY && !readyNames.contains(worker.name) && (olderList.whole() || listedNames.contains(worker.name))) {
                worker.state = State.DRAINING;
                drainedByOlderList.add(worker);
                core.pool.closeIdle(worker);
                workers.add(new Dispatcher.Worker(worker.id, worker.listed.size(), State.DRAINING, worker.listed.startedAtUs(),
                        worker.listed.zone(), worker.listed.cell(), worker.listed.kind()));
            }
        }
        if (!workers.isEmpty()) {
            core.module.listUpdated(core.now, ListUpdate.CHANGES, workers);
        }
    }

    /** Passes health changes of ready workers to the module, as changes of the list. */
    void healthChanged(List<WorkerHealthTracker.Change> changes) {
        List<Dispatcher.Worker> workers = new ArrayList<>();
        for (WorkerHealthTracker.Change change : changes) {
            Worker worker = core.workers.get(change.worker());
            if (worker != null && worker.state == State.READY) {
                core.effects.add(new Effect.Log(LogEvent.WORKER_HEALTH, worker.name, change.usable() ? "UP" : change.health(), change.reason()));
                workers.add(core.health.withOverlay(worker.listed));
            }
        }
        if (!workers.isEmpty()) {
            core.module.listUpdated(core.now, ListUpdate.CHANGES, workers);
        }
    }
}
