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
 * Drives the health tracker: turns its probes into effects and its changes into an overlay on discovery's list. A worker that
 * is considered down is shown to the module as draining, so that it gets no new jobs; draining or gone in the list stays so.
 */
final class WorkerHealth {
    private final HealthSettings settings;
    private final WorkerHealthTracker tracker;
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
        tracker = new WorkerHealthTracker(settings, seed);
        this.timers = timers;
        this.effects = effects;
    }

    void begin(Consumer<List<Change>> changes, Map<Long, Worker> all, long now) {
        onChange = changes;
        workers = all;
        probeDue(now);
    }

    List<Change> listUpdated(Collection<Worker> all, long now) {
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
        return apply(tracker.updateWorkers(ready, now), now);
    }

    List<Change> probed(long worker, boolean healthy, String reason, long now) {
        timers.cancel(timeouts.remove(worker));
        return apply(tracker.onProbeResult(worker, healthy, reason, now), now);
    }

    List<Change> attemptEnded(long worker, Outcome outcome, long now) {
        return apply(tracker.onAttemptOutcome(worker, outcome, now), now);
    }

    int down() {
        return tracker.unhealthyCount();
    }

    boolean panic() {
        return tracker.inPanicMode();
    }

    /** Returns a listed worker as it is shown to the module. */
    Dispatcher.Worker withOverlay(Dispatcher.Worker listed) {
        Change change = listed.state() == State.READY ? overlay.get(listed.id()) : null;
        if (change == null) {
            return listed;
        }
        return new Dispatcher.Worker(listed.id(), listed.size(), change.usable() ? State.READY : State.DRAINING,
                Math.max(listed.startedAtUs(), change.recoveredAt()), listed.zone(), listed.cell(), listed.kind());
    }

    private List<Change> apply(List<Change> changes, long now) {
        changes.forEach(change -> overlay.put(change.worker(), change));
        if (tracker.inPanicMode() != panic) {
            panic = tracker.inPanicMode();
            if (panic) {
                effects.add(new Effect.Log(LogEvent.WORKER_PANIC, tracker.unhealthyCount(), tracker.workerCount()));
            }
        }
        if (onChange != null) {
            schedule(now);
        }
        return changes;
    }

    private void probeDue(long now) {
        onChange.accept(apply(tracker.expireEjections(now), now));
        for (long id : tracker.takeDueProbes(now)) {
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
        long at = tracker.nextWakeUpAt(now);
        timer = at == Long.MAX_VALUE ? null : timers.at(at, this::probeDue);
    }
}
