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

/** The workers as discovery lists them, and as probes and attempts judge them. */
final class WorkerRegistry {
    private final CoreContext core;

    WorkerRegistry(CoreContext parts) {
        core = parts;
    }

    void listed(ListUpdate news, WorkerList list) {
        List<Dispatcher.Worker> workers = new ArrayList<>();
        if (news != ListUpdate.CHANGES) {
            core.workers.values().forEach(p -> p.state = State.GONE);
        } else {
            // what an older list made us doubt holds again, unless this one says otherwise
            core.workers.values().stream().filter(p -> p.doubted && p.state == State.DRAINING).forEach(p -> {
                p.state = p.listed.state();
                workers.add(core.health == null ? p.listed : core.health.seen(p.listed));
            });
        }
        core.workers.values().forEach(p -> p.doubted = false);
        for (WorkerList.Entry e : list.entries()) {
            Worker p = core.workers.computeIfAbsent(Worker.id(e.name()), id -> new Worker(e.name()));
            if (!e.address().equals(p.address)) {
                core.pool.closeIdle(p);
                p.address = e.address();
            }
            p.state = e.state();
            p.listed = new Dispatcher.Worker(p.id, e.weight(), e.state(), e.startedAtUs(), e.zone(), e.cell(), e.kind());
            workers.add(core.health == null ? p.listed : core.health.seen(p.listed));
        }
        core.workers.values().stream().filter(p -> p.state != State.READY).forEach(core.pool::closeIdle);
        core.workers.values().removeIf(p -> p.state == State.GONE && p.open == 0);
        core.module.listUpdated(core.now, news, workers);
        core.effects.add(new Effect.Log(LogEvent.DISCOVERY_LIST, list.version(), news,
                core.workers.values().stream().filter(p -> p.state == State.READY).count()));
        if (core.health != null) {
            judged(core.health.listed(core.workers.values(), core.now));
        }
    }

    /** An older list than ours: whom it does not call up gets nothing new until one that is taken in says that it may. */
    void drained(WorkerList older) {
        Set<String> up = older.entries().stream().filter(e -> e.state() == State.READY).map(WorkerList.Entry::name)
                .collect(Collectors.toSet());
        Set<String> named = older.entries().stream().map(WorkerList.Entry::name).collect(Collectors.toSet());
        List<Dispatcher.Worker> workers = new ArrayList<>();
        for (Worker p : core.workers.values()) {
            if (p.state == State.READY && !up.contains(p.name) && (older.whole() || named.contains(p.name))) {
                p.state = State.DRAINING;
                p.doubted = true;
                core.pool.closeIdle(p);
                workers.add(new Dispatcher.Worker(p.id, p.listed.size(), State.DRAINING, p.listed.startedAtUs(), p.listed.zone(), p.listed.cell(),
                        p.listed.kind()));
            }
        }
        if (!workers.isEmpty()) {
            core.module.listUpdated(core.now, ListUpdate.CHANGES, workers);
        }
    }

    /** Workers that look dead, or alive again: the module hears it as news of the list, and of ready ones only. */
    void judged(List<WorkerHealthTracker.Change> changes) {
        List<Dispatcher.Worker> workers = new ArrayList<>();
        for (WorkerHealthTracker.Change c : changes) {
            Worker p = core.workers.get(c.worker());
            if (p != null && p.state == State.READY) {
                core.effects.add(new Effect.Log(LogEvent.WORKER_HEALTH, p.name, c.usable() ? "UP" : c.health(), c.reason()));
                workers.add(core.health.seen(p.listed));
            }
        }
        if (!workers.isEmpty()) {
            core.module.listUpdated(core.now, ListUpdate.CHANGES, workers);
        }
    }
}
