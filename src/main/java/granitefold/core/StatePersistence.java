package granitefold.core;

import granitefold.Dispatcher;
import granitefold.Dispatcher.JobClass;
import granitefold.logging.LogEvent;
import granitefold.recovery.LearnedStateAging;
import granitefold.recovery.LearnedState;
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
    private static final int KEYS_MOST = 16_384;

    private final OptionalFeatures.Persistence set;
    private final List<JobClass> classes;
    private final Dispatcher module;
    private final Timers timers;
    private final List<Effect> effects;
    /** Keys sent in this life, the oldest first, and those of former lives, with the ends of their windows. */
    private final LinkedHashMap<Long, Long> sent = new LinkedHashMap<>();
    private final Map<Long, Long> former = new HashMap<>();

    StatePersistence(OptionalFeatures.Persistence set, List<JobClass> classes, Dispatcher module, Timers timers, List<Effect> effects) {
        this.set = set;
        this.classes = classes;
        this.module = module;
        this.timers = timers;
        this.effects = effects;
    }

    void begin(long now) {
        timers.at(now + set.intervalUs(), this::keep);
    }

    /** Gives out what is known now, and again at the interval. */
    private void keep(long now) {
        give(now);
        timers.at(now + set.intervalUs(), this::keep);
    }

    void give(long now) {
        sent.values().removeIf(until -> until <= now);
        former.values().removeIf(until -> until <= now);
        List<LearnedState.Key> keys = new ArrayList<>(sent.size() + former.size());
        former.forEach((key, until) -> keys.add(new LearnedState.Key(key, until)));
        sent.forEach((key, until) -> keys.add(new LearnedState.Key(key, until)));
        LearnedState l = module.learned(now);
        effects.add(new Effect.SaveState(new LearnedState(l.at(), l.fetchUs(), l.kept(), l.meanWork(), l.works(), l.kinds(), l.workers(),
                l.buckets(), keys)));
    }

    /** A former life has left this. */
    void recovered(LearnedState old, List<Dispatcher.Worker> list, long now) {
        LearnedStateAging.Result aged = new LearnedStateAging(set.ageing()).apply(old, list, now);
        LearnedState l = aged.state();
        module.restore(now, l);
        l.keys().forEach(k -> former.merge(k.key(), k.until(), Math::max));
        aged.dropReasons().forEach(reason -> effects.add(new Effect.Log(LogEvent.STATE_DROPPED, reason)));
        effects.add(new Effect.Log(LogEvent.STATE_RECOVERED, Math.max(0, now - old.at()) / 1000, l.workers().size(),
                l.buckets().size(), l.keys().size()));
    }

    /** An attempt of the request is about to be written: from now on it may run. */
    void sent(Submission s, long now) {
        if (s.repeatKey() != null) {
            long until = now + classes.get(s.jobClass()).dedupWindowUs();
            sent.merge(hash(s), until, Math::max);
            Iterator<Long> oldest = sent.keySet().iterator();
            while (sent.size() > KEYS_MOST) {
                oldest.next();
                oldest.remove();
            }
        }
    }

    /** For how long yet a request must not be sent, as a former life may have sent it; 0: it may go. */
    long blocked(Submission s, long now) {
        Long until = s.repeatKey() == null || former.isEmpty() ? null : former.get(hash(s));
        return until == null ? 0 : Math.max(0, until - now);
    }

    private static long hash(Submission s) {
        try {
            // the tenant is part of it: another's key is another key
            byte[] hash = MessageDigest.getInstance("SHA-256").digest((s.tenant() + " " + s.jobClass() + " " + s.repeatKey())
                    .getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(hash).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
