package granitefold.core;

import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.State;
import granitefold.Dispatcher;
import granitefold.health.WorkerHealthTracker;
import granitefold.health.WorkerHealthTracker.Change;
import granitefold.health.HealthSettings;
import granitefold.logging.LogEvent;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Drives the health board: its probes become effects, its changes an overlay on discovery's list. A worker that looks
 * dead is shown to the module as draining, so that it gets nothing new; what discovery calls draining or gone stays so.
 */
final class WorkerHealth {
    private final HealthSettings set;
    private final WorkerHealthTracker board;
    private final Timers timers;
    private final List<Effect> effects;
    /** What was last decided of workers that are not simply as listed. */
    private final Map<Long, Change> overlay = new HashMap<>();
    /** Time limits of the probes that are out. */
    private final Map<Long, Timers.Timer> limits = new HashMap<>();
    private Consumer<List<Change>> judge;
    private Map<Long, Worker> workers = Map.of();
    private Timers.Timer timer;
    private boolean panic;

    WorkerHealth(HealthSettings set, long seed, Timers timers, List<Effect> effects) {
        this.set = set;
        board = new WorkerHealthTracker(set, seed);
        this.timers = timers;
        this.effects = effects;
    }

    void begin(Consumer<List<Change>> changes, Map<Long, Worker> all, long now) {
        judge = changes;
        workers = all;
        tick(now);
    }

    List<Change> listed(Collection<Worker> all, long now) {
        Set<Long> ready = all.stream().filter(p -> p.state == State.READY).map(p -> p.id)
                .collect(Collectors.toCollection(LinkedHashSet::new));
        overlay.keySet().retainAll(ready);
        limits.entrySet().removeIf(e -> {
            boolean left = !ready.contains(e.getKey());
            if (left) {
                timers.cancel(e.getValue());
                effects.add(new Effect.CancelProbe(e.getKey()));
            }
            return left;
        });
        return after(board.updateWorkers(ready, now), now);
    }

    List<Change> probed(long worker, boolean well, String reason, long now) {
        timers.cancel(limits.remove(worker));
        return after(board.onProbeResult(worker, well, reason, now), now);
    }

    List<Change> tried(long worker, Outcome outcome, long now) {
        return after(board.onAttemptOutcome(worker, outcome, now), now);
    }

    int down() {
        return board.unhealthyCount();
    }

    boolean panic() {
        return board.inPanicMode();
    }

    /** How a listed worker is shown to the module. */
    Dispatcher.Worker seen(Dispatcher.Worker listed) {
        Change c = listed.state() == State.READY ? overlay.get(listed.id()) : null;
        if (c == null) {
            return listed;
        }
        return new Dispatcher.Worker(listed.id(), listed.size(), c.usable() ? State.READY : State.DRAINING,
                Math.max(listed.startedAtUs(), c.recoveredAt()), listed.zone(), listed.cell(), listed.kind());
    }

    private List<Change> after(List<Change> changes, long now) {
        changes.forEach(c -> overlay.put(c.worker(), c));
        if (board.inPanicMode() != panic) {
            panic = board.inPanicMode();
            if (panic) {
                effects.add(new Effect.Log(LogEvent.WORKER_PANIC, board.unhealthyCount(), board.workerCount()));
            }
        }
        if (judge != null) {
            schedule(now);
        }
        return changes;
    }

    private void tick(long now) {
        judge.accept(after(board.expireEjections(now), now));
        for (long id : board.takeDueProbes(now)) {
            effects.add(new Effect.StartProbe(id, workers.get(id).address));
            limits.put(id, timers.at(now + set.timeoutUs(), t -> {
                effects.add(new Effect.CancelProbe(id));
                judge.accept(probed(id, false, "no answer in time", t));
            }));
        }
        schedule(now);
    }

    private void schedule(long now) {
        timers.cancel(timer);
        long at = board.nextWakeUpAt(now);
        timer = at == Long.MAX_VALUE ? null : timers.at(at, this::tick);
    }
}
