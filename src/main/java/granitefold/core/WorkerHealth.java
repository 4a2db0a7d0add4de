package granitefold.core;

import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.State;
import granitefold.Dispatcher;
import granitefold.health.HealthBoard;
import granitefold.health.HealthBoard.Change;
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
 * Drives the health board: turns its probes into effects and its changes into an overlay on discovery's list. A worker that
 * is considered down is shown to the module as draining, so that it gets no new jobs; draining or gone in the list stays so.
 */
final class WorkerHealth {
    private final HealthSettings settings;
    private final HealthBoard board;
    private final Timers timers;
    private final List<Effect> effects;
    /** The last health change of each worker that has had one. */
    private final Map<Long, Change> overlay = new HashMap<>();
    /** Timeouts of pending probes. */
    private final Map<Long, Timers.Timer> timeouts = new HashMap<>();
    private Consumer<List<Change>> onChange;
    private Map<Long, Worker> workers = Map.of();
    private Timers.Timer timer;
    private boolean panic;

    WorkerHealth(HealthSettings settings, long seed, Timers timers, List<Effect> effects) {
        this.settings = settings;
        board = new HealthBoard(settings, seed);
        this.timers = timers;
        this.effects = effects;
    }

    void begin(Consumer<List<Change>> changes, Map<Long, Worker> all, long now) {
        onChange = changes;
        workers = all;
        probeDue(now);
    }

    List<Change> listed(Collection<Worker> all, long now) {
        Set<Long> ready = all.stream().filter(worker -> worker.state == State.READY).map(worker -> worker.id)
                .collect(Collectors.toCollection(LinkedHashSet::new));
        overlay.keySet().retainAll(ready);
        timeouts.entrySet().removeIf(e -> {
            boolean removed = !ready.contains(e.getKey());
            if (removed) {
                timers.cancel(e.getValue());
                effects.add(new Effect.CancelProbe(e.getKey()));
            }
            return removed;
        });
        return apply(board.listed(ready, now), now);
    }

    List<Change> probed(long worker, boolean healthy, String reason, long now) {
        timers.cancel(timeouts.remove(worker));
        return apply(board.probed(worker, healthy, reason, now), now);
    }

    List<Change> attemptEnded(long worker, Outcome outcome, long now) {
        return apply(board.tried(worker, outcome, now), now);
    }

    int down() {
        return board.down();
    }

    boolean panic() {
        return board.panic();
    }

    /** Returns a listed worker as it is shown to the module. */
    Dispatcher.Worker withOverlay(Dispatcher.Worker listed) {
        Change change = listed.state() == State.READY ? overlay.get(listed.id()) : null;
        if (change == null) {
            return listed;
        }
        return new Dispatcher.Worker(listed.id(), listed.size(), change.usable() ? State.READY : State.DRAINING,
                Math.max(listed.startedAtUs(), change.since()), listed.zone(), listed.cell(), listed.kind());
    }

    private List<Change> apply(List<Change> changes, long now) {
        changes.forEach(change -> overlay.put(change.worker(), change));
        if (board.panic() != panic) {
            panic = board.panic();
            if (panic) {
                effects.add(new Effect.Log(LogEvent.WORKER_PANIC, board.down(), board.size()));
            }
        }
        if (onChange != null) {
            schedule(now);
        }
        return changes;
    }

    private void probeDue(long now) {
        onChange.accept(apply(board.elapsed(now), now));
        for (long id : board.due(now)) {
            effects.add(new Effect.StartProbe(id, workers.get(id).address));
            timeouts.put(id, timers.at(now + settings.timeoutUs(), t -> {
                effects.add(new Effect.CancelProbe(id));
                onChange.accept(probed(id, false, "no answer in time", t));
            }));
        }
        schedule(now);
    }

    private void schedule(long now) {
        timers.cancel(timer);
        long at = board.wakeAt(now);
        timer = at == Long.MAX_VALUE ? null : timers.at(at, this::probeDue);
    }
}
