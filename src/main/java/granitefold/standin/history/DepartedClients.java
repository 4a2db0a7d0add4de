package granitefold.standin.history;

import granitefold.standin.history.Violation.Rule;
import java.util.ArrayList;
import java.util.List;

/** Clients that close their connection have gone: an attempt, first or further, that begins more than 0.1 s later breaks the rule. */
final class DepartedClients {
    private static final long MAX_DELAY_US = 100_000;

    private final List<Violation> found = new ArrayList<>();

    /** A request whose client left, and had gone for its dispatcher at {@code goneUs}, with its attempts and when the dispatcher sent each. */
    void add(Entry left, long goneUs, List<Entry> attempts, List<Long> sentAt, List<Entry> trace) {
        for (int i = 0; i < attempts.size(); i++) {
            long delayUs = sentAt.get(i) - goneUs;
            if (delayUs > MAX_DELAY_US + TimeSlack.OBSERVATION_US) {
                found.add(new Violation(Rule.GONE, attempts.get(i).atUs(),
                        left.txn() + ": sent to " + attempts.get(i).who() + " " + delayUs / 1000 + " ms after its client had gone", trace));
            }
        }
    }

    List<Violation> found() {
        return found;
    }
}
