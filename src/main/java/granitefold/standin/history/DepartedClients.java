package granitefold.standin.history;

import granitefold.standin.history.Violation.Rule;
import java.util.ArrayList;
import java.util.List;

/** Finds attempts, first ones or retries, that were sent more than 0.1 s after their client had closed its connection. */
final class DepartedClients {
    private static final long MAX_DELAY_US = 100_000;

    private final List<Violation> found = new ArrayList<>();

    /** Checks a request whose client disconnected; {@code goneUs}: when its dispatcher saw that; {@code sentAt}: when each attempt was sent. */
    void add(Entry left, long goneUs, List<Entry> attempts, List<Long> sentAt, List<Entry> trace) {
        for (int i = 0; i < attempts.size(); i++) {
            long delayUs = sentAt.get(i) - goneUs;
            if (delayUs > MAX_DELAY_US + TimeSlack.OBSERVATION_US) {
                found.add(new Violation(Rule.GONE, attempts.get(i).atUs(),
                        left.txn() + ": sent to " + attempts.get(i).who() + " " + delayUs / 1000 + " ms after its client had disconnected", trace));
            }
        }
    }

    List<Violation> found() {
        return found;
    }
}
