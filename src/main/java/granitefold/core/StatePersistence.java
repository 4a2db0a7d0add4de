package granitefold.core;

import granitefold.Dispatcher;
import granitefold.Dispatcher.JobClass;
import granitefold.logging.LogEvent;
import granitefold.recovery.Ageing;
import granitefold.recovery.Learned;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Gives out what was learned, at an interval, and takes in what a former life has left. Beside what the module knows that
 * is the keys of requests that may have run: a job whose key a former life had sent may be running or done, and nobody
 * here would know.
 */
final class StatePersistence {
    /** Keys held at the most, about a hundred bytes each; past it the oldest go, which the workers' own window covers. */
    private static final int MAX_KEYS = 16_384;

    private final OptionalFeatures.Persistence settings;
    private final List<JobClass> classes;
    private final Dispatcher module;
    private final Timers timers;
    private final List<Effect> effects;
    /** Keys sent in this life, the oldest first, and those of former lives, with the ends of their windows. */
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

    /** Gives out what is known now, and again at the interval. */
    private void savePeriodically(long now) {
        save(now);
        timers.at(now + settings.intervalUs(), this::savePeriodically);
    }

    void save(long now) {
        sentKeys.values().removeIf(until -> until <= now);
        previousKeys.values().removeIf(until -> until <= now);
        List<Learned.Key> keys = new ArrayList<>(sentKeys.size() + previousKeys.size());
        previousKeys.forEach((key, until) -> keys.add(new Learned.Key(key, until)));
        sentKeys.forEach((key, until) -> keys.add(new Learned.Key(key, until)));
        Learned state = module.learned(now);
        effects.add(new Effect.SaveState(new Learned(state.at(), state.fetchUs(), state.kept(), state.meanWork(), state.works(), state.kinds(), state.workers(),
                state.buckets(), keys)));
    }

    /** A former life has left this. */
    void recovered(Learned saved, List<Dispatcher.Worker> list, long now) {
        Ageing.Aged aged = new Ageing(settings.ageing()).age(saved, list, now);
        Learned state = aged.learned();
        module.restore(now, state);
        state.keys().forEach(k -> previousKeys.merge(k.key(), k.until(), Math::max));
        aged.reasons().forEach(reason -> effects.add(new Effect.Log(LogEvent.STATE_DROPPED, reason)));
        effects.add(new Effect.Log(LogEvent.STATE_RECOVERED, Math.max(0, now - saved.at()) / 1000, state.workers().size(),
                state.buckets().size(), state.keys().size()));
    }

    /** An attempt of the request is about to be written: from now on it may run. */
    void sent(Submission submission, long now) {
        if (submission.repeatKey() != null) {
            long until = now + classes.get(submission.jobClass()).keepUs();
            sentKeys.merge(hash(submission), until, Math::max);
            Iterator<Long> oldest = sentKeys.keySet().iterator();
            while (sentKeys.size() > MAX_KEYS) {
                oldest.next();
                oldest.remove();
            }
        }
    }

    /** For how long yet a request must not be sent, as a former life may have sent it; 0: it may go. */
    long blockedForUs(Submission submission, long now) {
        Long until = submission.repeatKey() == null || previousKeys.isEmpty() ? null : previousKeys.get(hash(submission));
        return until == null ? 0 : Math.max(0, until - now);
    }

    private static long hash(Submission submission) {
        try {
            // the tenant is part of it: another's key is another key
            byte[] hash = MessageDigest.getInstance("SHA-256").digest((submission.tenant() + " " + submission.jobClass() + " " + submission.repeatKey())
                    .getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(hash).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
