package granitefold.core;

import granitefold.Dispatcher;
import granitefold.Dispatcher.JobClass;
import granitefold.logging.LogEvent;
import granitefold.recovery.LearnedStateAging;
import granitefold.recovery.LearnedState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Saves the learned state at an interval, and restores the state of a previous process. Beside the module's state it holds the
 * keys of requests that may have run: a job whose key a previous process had sent may be running or done, unknown to this
 * process.
 */
final class StatePersistence {
    /** The most keys held, about 100 bytes each; beyond it the oldest are dropped, which the workers' own deduplication covers. */
    private static final int MAX_KEYS = 16_384;

    private final OptionalFeatures.Persistence settings;
    private final List<JobClass> classes;
    private final Dispatcher module;
    private final Timers timers;
    private final List<Effect> effects;
    /** Hashes of keys sent by this process, the oldest first, and by previous ones, with the ends of their deduplication windows. */
    private final LinkedHashMap<Long, Long> sentKeys = new LinkedHashMap<>();
    private final Map<Long, Long> previousKeys = new HashMap<>();

    StatePersistence(OptionalFeatures.Persistence settings, List<JobClass> classes, Dispatcher module, Timers timers, List<Effect> effects) {
        this.settings = settings;
        this.classes = classes;
        this.module = module;
        this.timers = timers;
        this.effects = effects;
    }

    void begin(long now) {
        timers.at(now + settings.intervalUs(), this::savePeriodically);
    }

    /** Saves the current state, and again after each interval. */
    private void savePeriodically(long now) {
        save(now);
        timers.at(now + settings.intervalUs(), this::savePeriodically);
    }

    void save(long now) {
        sentKeys.values().removeIf(until -> until <= now);
        previousKeys.values().removeIf(until -> until <= now);
        List<LearnedState.Key> keys = new ArrayList<>(sentKeys.size() + previousKeys.size());
        previousKeys.forEach((key, until) -> keys.add(new LearnedState.Key(key, until)));
        sentKeys.forEach((key, until) -> keys.add(new LearnedState.Key(key, until)));
        LearnedState state = module.learned(now);
        effects.add(new Effect.SaveState(new LearnedState(state.at(), state.fetchUs(), state.kept(), state.meanWork(), state.works(), state.kinds(),
                state.workers(), state.buckets(), keys)));
    }

    /** Restores the saved state of a previous process. */
    void recovered(LearnedState saved, List<Dispatcher.Worker> list, long now) {
        LearnedStateAging.Result aged = new LearnedStateAging(settings.aging()).apply(saved, list, now);
        LearnedState state = aged.state();
        module.restore(now, state);
        state.keys().forEach(k -> previousKeys.merge(k.key(), k.until(), Math::max));
        aged.dropReasons().forEach(reason -> effects.add(new Effect.Log(LogEvent.STATE_DROPPED, reason)));
        effects.add(new Effect.Log(LogEvent.STATE_RECOVERED, Math.max(0, now - saved.at()) / 1000, state.workers().size(),
                state.buckets().size(), state.keys().size()));
    }

    /** An attempt of the request is about to be written, and may run from now on. */
    void sent(Submission submission, long now) {
        if (submission.repeatKey() != null) {
            long until = now + classes.get(submission.jobClass()).dedupWindowUs();
            sentKeys.merge(hash(submission), until, Math::max);
            Iterator<Long> oldest = sentKeys.keySet().iterator();
            while (sentKeys.size() > MAX_KEYS) {
                oldest.next();
                oldest.remove();
            }
        }
    }

    /** Returns how long a request must still not be sent, because a previous process may have sent it; 0 if it may be sent. */
    long blockedForUs(Submission submission, long now) {
        Long until = submission.repeatKey() == null || previousKeys.isEmpty() ? null : previousKeys.get(hash(submission));
        return until == null ? 0 : Math.max(0, until - now);
    }

    private static long hash(Submission submission) {
        // keys are scoped to a tenant and a class
        return StableHash.of(submission.tenant() + " " + submission.jobClass() + " " + submission.repeatKey());
    }
}
