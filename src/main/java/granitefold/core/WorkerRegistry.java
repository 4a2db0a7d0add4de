package granitefold.core;

import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.State;
import granitefold.Dispatcher;
import granitefold.health.WorkerHealthTracker;
import granitefold.logging.LogEvent;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Applies worker lists of discovery and health changes to the known workers, and passes both on to the decision module. */
final class WorkerRegistry {
    /** The most workers that are known at once, each of which takes about 1 KiB; new ones beyond it are left out. */
    static final int MAX_WORKERS = 12_800;

    private final CoreContext core;

    WorkerRegistry(CoreContext coreContext) {
        core = coreContext;
    }

    void listUpdated(ListUpdate update, WorkerList list) {
        List<Dispatcher.Worker> workers = new ArrayList<>();
        if (update != ListUpdate.CHANGES) {
            core.workers.values().forEach(worker -> worker.state = State.GONE);
        } else {
            // drains by an older list are reverted, unless this list repeats them
            core.workers.values().stream().filter(worker -> worker.drainedByOlderList && worker.state == State.DRAINING).forEach(worker -> {
                worker.state = worker.listed.state();
                workers.add(core.health == null ? worker.listed : core.health.withOverlay(worker.listed));
            });
        }
        core.workers.values().forEach(worker -> worker.drainedByOlderList = false);
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
        core.workers.values().stream().filter(worker -> worker.state != State.READY).forEach(core.pool::closeIdle);
        core.workers.values().removeIf(worker -> worker.state == State.GONE && worker.open == 0);
        core.module.listUpdated(core.now, update, workers);
        core.effects.add(new Effect.Log(LogEvent.DISCOVERY_LIST, list.version(), update,
                core.workers.values().stream().filter(worker -> worker.state == State.READY).count()));
        if (core.health != null) {
            healthChanged(core.health.listUpdated(core.workers.values(), core.now));
        }
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
                worker.drainedByOlderList = true;
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
