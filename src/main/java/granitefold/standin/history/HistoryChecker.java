package granitefold.standin.history;

import granitefold.standin.history.Entry.What;
import granitefold.standin.history.Violation.Rule;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Finds rule violations in a complete history. The result depends only on the entries. */
public final class HistoryChecker {
    /** A reject in the last tenth of its client's time, with no attempt in flight for half a second before, counts as delayed. */
    private static final double LATE_SHARE = 0.1;
    /** Tolerance of the remaining time that an attempt states. */
    private static final long STATED_TIME_SLACK_MS = 150;
    private static final long IDLE_BEFORE_REJECT_US = 500_000;
    private static final long MAX_START_US = 10_000_000;
    private static final double MAX_SLOW_SHARE = 0.1;

    private final RuleTerms terms;
    private final List<Entry> all;
    private final List<Violation> found = new ArrayList<>();
    /** When dispatchers closed connections to workers, in order. */
    private final Map<WorkerConnection, List<Long>> closed = new HashMap<>();
    /** What dispatchers sent on connections to workers, in order. */
    private final Map<WorkerConnection, List<Entry>> sent = new HashMap<>();
    /** When relays forwarded a client's bytes, by its connection, in order. */
    private final Map<String, List<Long>> forwarded = new HashMap<>();
    /** When relays forwarded a client's close, by its address, in order; a later client may have the same address. */
    private final Map<String, List<Long>> closeForwarded = new HashMap<>();
    private final PermittedViolations permitted;
    private final ProcessorWaits processorWaits;
    private final DepartedClients departedClients = new DepartedClients();

    /**
     * A connection, identified by its worker and its opener's address. A local port may be used for several workers at once, and again
     * for the same one.
     */
    private record WorkerConnection(String worker, String address) {
        static WorkerConnection of(Entry begun) {
            return new WorkerConnection(begun.who(), begun.conn());
        }
    }

    private HistoryChecker(RuleTerms terms, List<Entry> all) {
        this.terms = terms;
        this.all = all;
        permitted = new PermittedViolations(all);
        processorWaits = new ProcessorWaits(all);
        for (Entry e : all) {
            if (e.what() == What.CLOSED) {
                closed.computeIfAbsent(new WorkerConnection(e.whom(), e.conn()), c -> new ArrayList<>()).add(e.atUs());
            } else if (e.what() == What.SENT) {
                sent.computeIfAbsent(new WorkerConnection(e.whom(), e.conn()), c -> new ArrayList<>()).add(e);
            } else if (e.what() == What.FORWARDED) {
                forwarded.computeIfAbsent(e.conn(), c -> new ArrayList<>()).add(e.atUs());
            } else if (e.what() == What.CLOSE_FORWARDED) {
                closeForwarded.computeIfAbsent(e.conn(), c -> new ArrayList<>()).add(e.atUs());
            }
        }
    }

    /** Returns all violations in the order of time. {@code sorted}: a complete history in the order of time. */
    public static List<Violation> check(RuleTerms terms, List<Entry> sorted) {
        HistoryChecker checker = new HistoryChecker(terms, sorted);
        Map<String, List<Entry>> requests = new LinkedHashMap<>();
        for (Entry e : sorted) {
            if (e.txn() != null) {
                requests.computeIfAbsent(e.txn(), t -> new ArrayList<>()).add(e);
            }
        }
        requests.values().forEach(checker::checkRequest);
        checker.checkKeys();
        checker.checkDrains();
        checker.checkRestarts();
        checker.found.addAll(checker.departedClients.found());
        checker.found.addAll(new QuotaRule(terms).check(sorted));
        for (Entry e : sorted) {
            if (e.what() == What.FELL) {
                checker.report(Rule.COLD, e, e.who() + " failed under overload in slow start", List.of(e));
            } else if (e.what() == What.PROCESS && e.text().startsWith("crashed")) {
                checker.report(Rule.CRASHED, e, e.who() + " " + e.text(), List.of(e));
            } else if (e.what() == What.PROCESS && e.text().startsWith("exceeds ")) {
                checker.report(Rule.OVER_MEMORY, e, e.who() + " " + e.text(), List.of(e));
            } else if (e.what() == What.PROCESS && e.text().startsWith("reports ")) {
                checker.report(Rule.SELF_REPORTED, e, e.who() + " " + e.text(), List.of(e));
            } else if (e.what() == What.EXTRA) {
                checker.report(Rule.ANSWERED_TWICE, e, e.whom() + " sent more than one answer", List.of(e));
            }
        }
        checker.found.sort(Comparator.comparingLong(Violation::atUs));
        return checker.found;
    }

    private void report(Rule rule, Entry at, String what, List<Entry> trace) {
        found.add(new Violation(rule, at.atUs(), what, trace));
    }

    // ---------------------------------------------------------------- one request
    private void checkRequest(List<Entry> trace) {
        Entry asked = first(trace, What.ASKED);
        if (asked == null) {
            return;
        }
        checkAnswers(asked, trace);
        List<Entry> attempts = trace.stream().filter(e -> e.what() == What.BEGUN).toList();
        Entry left = first(trace, What.LEFT);
        if (left != null && attempts.stream().noneMatch(attempt -> permitted.coversRequest(asked, attempt.atUs()))) {
            departedClients.add(left, closeForwardedAt(asked, left), attempts, attempts.stream().map(this::sentAtTheEarliest).toList(), trace);
        }
        for (int i = 1; i < attempts.size(); i++) {
            Entry before = attempts.get(i - 1);
            Entry next = attempts.get(i);
            long overAtUs = overAt(before, trace);
            if (sentAt(next) < overAtUs - TimeSlack.OBSERVATION_US) {
                report(Rule.TWO_OUT, next, asked.txn() + ": an attempt to " + next.who() + " while the one to " + before.who()
                        + " was in flight for " + (overAtUs == Long.MAX_VALUE ? "ever" : (overAtUs - sentAt(next)) / 1000 + " ms more"), trace);
            }
        }
        for (Entry attempt : terms.checksStatedTime() ? attempts : List.<Entry>of()) {
            long leftMs = asked.number() - (sentAtTheEarliest(attempt) - forwardedAt(asked)) / 1000;
            long waitedUs = processorWaits.between(asked.whom(), forwardedAt(asked), sentAtTheEarliest(attempt));
            long slackMs = STATED_TIME_SLACK_MS + (TimeSlack.OBSERVATION_US + waitedUs) / 1000;
            if (attempt.number() > leftMs + slackMs && !permitted.coversRequest(asked, attempt.atUs())) {
                report(Rule.OVERSTATED, attempt, asked.txn() + ": told " + attempt.who() + " " + attempt.number() + " ms, its client had "
                        + leftMs + " ms left, and the dispatcher had waited for a processor for " + waitedUs / 1000 + " ms", trace);
            }
        }
        RuleTerms.JobClass jobClass = terms.classes().get(asked.jobClass());
        Entry firstRun = attempts.stream().filter(attempt -> !wasTurnedAway(attempt, trace)).findFirst().orElse(null);
        for (Entry attempt : attempts) {
            if (jobClass == null || firstRun == null || attempt.atUs() <= firstRun.atUs()) {
                continue;
            }
            if (jobClass.effect() == RuleTerms.Effect.UNSAFE) {
                report(Rule.RESENT, attempt, asked.txn() + ": resent to " + attempt.who() + " although it may have run at " + firstRun.who(), trace);
            } else if (jobClass.effect() == RuleTerms.Effect.KEYED
                    && sentAt(attempt) - firstRun.atUs() > (jobClass.windowMs() + terms.slackMs()) * 1000) {
                report(Rule.RESENT, attempt, asked.txn() + ": resent to " + attempt.who() + " " + (attempt.atUs() - firstRun.atUs()) / 1000
                        + " ms after it may have run, beyond its key's window", trace);
            }
        }
    }

    private void checkAnswers(Entry asked, List<Entry> trace) {
        List<Entry> answers = trace.stream().filter(e -> e.what() == What.ANSWERED).toList();
        long dueUs = asked.atUs() + (asked.number() + terms.slackMs()) * 1000;
        Entry end = trace.stream().filter(e -> e.what() == What.UNHEARD || e.what() == What.CUT || e.what() == What.SILENT
                || e.what() == What.LEFT).findFirst().orElse(null);
        if (answers.isEmpty() && end != null && end.what() != What.LEFT && !permitted.coversRequest(asked, end.atUs())
                && !(end.what() == What.UNHEARD && first(trace, What.BEGUN) == null && mayNotHaveBeenRead(asked, end))) {
            report(Rule.LOST, end, asked.txn() + ": " + asked.whom() + " accepted it and sent no answer (" + end.what() + ")", trace);
        }
        if (answers.size() > 1) {
            report(Rule.ANSWERED_TWICE, answers.get(1), asked.txn() + ": answered " + answers.size() + " times", trace);
        }
        for (Entry a : answers) {
            if (a.number() == 200 && !"made".equals(a.text())) {
                report(Rule.MADE_UP, a, asked.txn() + ": answered with a result that no worker made for it", trace);
            }
            if (a.atUs() > dueUs && !permitted.coversRequest(asked, a.atUs())) {
                report(Rule.LOST, a, asked.txn() + ": answered " + (a.atUs() - asked.atUs()) / 1000 + " ms after it was sent, "
                        + asked.number() + " ms were allowed", trace);
            }
            if (a.number() == 503 || a.number() == 429) {
                if (terms.retryAfter() && a.text() == null) {
                    report(Rule.NO_RETRY_AFTER, a, asked.txn() + ": rejected without Retry-After", trace);
                }
                long last = trace.stream().filter(e -> e.what() == What.BEGUN).mapToLong(b -> overAtForDispatcher(b, a, trace)).max()
                        .orElse(asked.atUs());
                long heldUs = a.atUs() - Math.max(asked.atUs(), last);
                if (a.atUs() - asked.atUs() > asked.number() * 1000 * (1 - LATE_SHARE) && heldUs > IDLE_BEFORE_REJECT_US
                        && !permitted.coversRequest(asked, a.atUs())) {
                    report(Rule.DELAYED, a, asked.txn() + ": rejected " + heldUs / 1000 + " ms after its last event", trace);
                }
            }
        }
    }

    /** A request on a reused connection may have crossed its close, and the client resends it; on a new one this takes a permitted violation. */
    private boolean mayNotHaveBeenRead(Entry asked, Entry unheard) {
        return !"new".equals(unheard.text()) || !terms.recordsProcesses() || permitted.coversNewConnection(asked, unheard.atUs());
    }

    private static boolean wasTurnedAway(Entry begun, List<Entry> trace) {
        Entry end = endOf(begun, trace);
        return end != null && ("returned".equals(end.text()) || "turned away".equals(end.text()));
    }

    /** Returns the worker's entry for the end of an attempt, or null. */
    private static Entry endOf(Entry begun, List<Entry> trace) {
        return trace.stream().filter(e -> e.what() == What.ENDED && e.who().equals(begun.who())
                && Objects.equals(e.conn(), begun.conn()) && e.atUs() >= begun.atUs()).findFirst().orElse(null);
    }

    /** Returns when an attempt was over: the worker wrote its last line, or the dispatcher closed the connection. */
    private long overAt(Entry begun, List<Entry> trace) {
        Entry end = endOf(begun, trace);
        return Math.min(closedAt(begun), end == null ? Long.MAX_VALUE : end.atUs());
    }

    /** Returns when the dispatcher closed an attempt's connection; earlier closes belong to previous connections of the same port. */
    private long closedAt(Entry begun) {
        return closed.getOrDefault(WorkerConnection.of(begun), List.of()).stream().filter(t -> t >= sentAt(begun)).findFirst()
                .orElse(Long.MAX_VALUE);
    }

    /** Returns when the dispatcher knew that an attempt was over; a faulty edge to the worker may have held back the worker's answer. */
    private long overAtForDispatcher(Entry begun, Entry answered, List<Entry> trace) {
        if (permitted.edgeFaulty(begun.whom(), begun.who(), begun.atUs(), answered.atUs())) {
            return closedAt(begun);
        }
        return overAt(begun, trace);
    }

    /** Returns when a relay read the last bytes of an attempt, which the dispatcher may have sent earlier. */
    private long sentAt(Entry begun) {
        Entry last = lastSent(begun);
        return last == null ? begun.atUs() : last.atUs();
    }

    /** Returns the earliest time at which the dispatcher may have sent them, given that a busy relay reads late. */
    private long sentAtTheEarliest(Entry begun) {
        Entry last = lastSent(begun);
        return last == null ? begun.atUs() : last.atUs() - last.number();
    }

    private Entry lastSent(Entry begun) {
        Entry last = null;
        for (Entry e : sent.getOrDefault(WorkerConnection.of(begun), List.of())) {
            if (e.atUs() <= begun.atUs()) {
                last = e;
            }
        }
        return last;
    }

    /** Returns when a client's close reached its dispatcher; a busy relay may have forwarded it late. */
    private long closeForwardedAt(Entry asked, Entry left) {
        for (long t : closeForwarded.getOrDefault(String.valueOf(asked.conn()), List.of())) {
            if (t >= left.atUs() - TimeSlack.OBSERVATION_US) {
                return Math.max(t, left.atUs());
            }
        }
        return left.atUs();
    }

    /** Returns when a request reached its dispatcher; a busy relay may have forwarded it late. */
    private long forwardedAt(Entry asked) {
        for (long t : forwarded.getOrDefault(String.valueOf(asked.conn()), List.of())) {
            if (t >= asked.atUs()) {
                return t;
            }
        }
        return asked.atUs();
    }

    private static Entry first(List<Entry> trace, What what) {
        return trace.stream().filter(e -> e.what() == what).findFirst().orElse(null);
    }

    // ---------------------------------------------------------------- over all requests
    private void checkKeys() {
        Map<String, Entry> started = new HashMap<>();
        // taken from the clients' entries, because a dispatcher might not pass the key on
        Map<String, String> keyOf = new HashMap<>();
        for (Entry e : all) {
            if (e.what() == What.ASKED && e.key() != null) {
                keyOf.put(e.txn(), e.key());
            }
            if (e.what() == What.STARTED && keyOf.containsKey(e.txn()) && !"repeat".equals(e.text())) {
                Entry before = started.put(keyOf.get(e.txn()), e);
                RuleTerms.JobClass c = terms.classes().get(e.jobClass());
                if (before != null && c != null && done(before) && e.atUs() - before.atUs() < c.windowMs() * 1000) {
                    report(Rule.RAN_TWICE, e, "key " + keyOf.get(e.txn()) + " ran at " + before.who() + " and at " + e.who(), List.of(before, e));
                }
            }
        }
    }

    private boolean done(Entry started) {
        return all.stream().anyMatch(e -> e.what() == What.ENDED && "done".equals(e.text()) && Objects.equals(e.conn(), started.conn())
                && Objects.equals(e.txn(), started.txn()));
    }

    /** Checks how long restarted processes, those after each dispatcher's first, took to become ready. */
    private void checkRestarts() {
        Map<String, Entry> starting = new HashMap<>();
        Map<String, Integer> starts = new HashMap<>();
        List<Entry> slow = new ArrayList<>();
        int restarts = 0;
        for (Entry e : all) {
            if (e.what() != What.PROCESS) {
                continue;
            }
            if (e.text().equals("started") && starts.merge(e.who(), 1, Integer::sum) > 1) {
                restarts++;
                starting.put(e.who(), e);
            } else if (e.text().equals("ready") || e.text().startsWith("not ready")) {
                Entry from = starting.remove(e.who());
                if (from != null && (e.text().startsWith("not") || e.atUs() - from.atUs() > MAX_START_US)) {
                    slow.add(from);
                }
            }
        }
        if (slow.size() > MAX_SLOW_SHARE * restarts) {
            report(Rule.SLOW_START, slow.get(0), slow.size() + " of " + restarts + " processes took over 10 s to become ready", slow);
        }
    }

    private void checkDrains() {
        Map<String, Entry> notified = new HashMap<>();
        List<Entry> inTime = new ArrayList<>(new DiscoveryNotifications(all).entries());
        all.stream().filter(e -> e.what() == What.BEGUN).forEach(inTime::add);
        inTime.sort(Comparator.comparingLong(Entry::atUs));
        for (Entry e : inTime) {
            if (e.what() == What.TOLD) {
                String edge = e.who() + ">" + e.whom();
                if (e.text().equals("up")) {
                    notified.remove(edge);
                } else {
                    notified.putIfAbsent(edge, e);
                }
            } else if (e.what() == What.BEGUN) {
                Entry drain = notified.get(e.whom() + ">" + e.who());
                if (drain != null && sentAt(e) - drain.atUs() > (terms.drainGraceMs() + terms.slackMs()) * 1000) {
                    report(Rule.DRAIN, e, e.whom() + " sent " + e.txn() + " to " + e.who() + " " + (sentAt(e) - drain.atUs()) / 1000
                            + " ms after it was notified: " + drain.text(), List.of(drain, e));
                }
            }
        }
    }
}
