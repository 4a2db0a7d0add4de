package granitefold.core;

import java.util.LinkedHashMap;
import java.util.Map;

/** Requests that arrive before the first list of discovery: held until it is known, or until only the time to write their answers is left. */
final class EarlyRequests {
    private record Held(Submission submission, long at, Timers.Timer timer) { }

    private final Map<Long, Held> byClient = new LinkedHashMap<>();
    private final Timers timers;
    private final Requests requests;

    EarlyRequests(Timers timers, Requests requests) {
        this.timers = timers;
        this.requests = requests;
    }

    int size() {
        return byClient.size();
    }

    /** Holds a request that arrived at time {@code at}, from which its remaining time is counted. */
    void hold(long client, Submission submission, long at, long now) {
        long until = Math.max(now, at + submission.remainingUs() - Requests.ANSWER_MARGIN_US);
        byClient.put(client, new Held(submission, at, timers.at(until, t -> submit(client, byClient.remove(client)))));
    }

    /** Drops the request of a client that has gone. */
    void clientGone(long client) {
        Held held = byClient.remove(client);
        if (held != null) {
            timers.cancel(held.timer);
        }
    }

    /** Passes on all of them. */
    void submitAll() {
        Map<Long, Held> all = new LinkedHashMap<>(byClient);
        byClient.clear();
        all.forEach(this::submit);
    }

    private void submit(long client, Held held) {
        timers.cancel(held.timer);
        requests.arrived(client, held.submission, held.at);
    }
}
