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

/** Looks for broken rules in a whole history. Pure: the same entries give the same verdict. */
public final class HistoryChecker {
    /** A reject in the last tenth of its client's time, with nothing out for half a second before, was kept back. */
    private static final double LATE_SHARE = 0.1;
    /** The page's slack on the time that an attempt tells. */
    private static final long STATED_TIME_SLACK_MS = 150;
    private static final long IDLE_BEFORE_REJECT_US = 500_000;
    private static final long MAX_START_US = 10_000_000;
    private static final double MAX_SLOW_SHARE = 0.1;

    private final RuleTerms terms;
    private final List<Entry> all;
    private final List<Violation> found = new ArrayList<>();
    /** The closings of connections to workers by their openers, in order. */
    private final Map<WorkerConnection, List<Long>> closed = new HashMap<>();
    /** What dispatchers sent on connections to workers, in order. */
    private final Map<WorkerConnection, List<Entry>> sent = new HashMap<>();
    /** When a client's bytes were handed on, by its connection, in order. */
    private final Map<String, List<Long>> forwarded = new HashMap<>();
    /** When a client's close was handed on, by its address, in order; a later client may have the same one. */
    private final Map<String, List<Long>> closeForwarded = new HashMap<>();
    private final PermittedViolations permitted;
    private final DepartedClients departedClients = new DepartedClients();

    /**
     * A connection by its worker and its opener's address. A port may be in use towards several workers at once, and be
     * used again towards the same one.
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

    /** All broken rules, the first one first. {@code sorted}: a whole history in the order of its times. */
    public static List<Violation> check(RuleTerms terms, List<Entry> sorted) {
        HistoryChecker c = new HistoryChecker(terms, sorted);
        Map<String, List<Entry>> requests = new LinkedHashMap<>();
        for (Entry e : sorted) {
            if (e.txn() != null) {
                requests.computeIfAbsent(e.txn(), t -> new ArrayList<>()).add(e);
            }
        }
        requests.values().forEach(c::checkRequest);
        c.checkKeys();
        c.checkDrains();
        c.checkRestarts();
        c.found.addAll(c.departedClients.found());
        c.found.addAll(new QuotaRule(terms).check(sorted));
        for (Entry e : sorted) {
            if (e.what() == What.FELL) {
                c.broken(Rule.COLD, e, e.who() + " was cold and fell over", List.of(e));
            } else if (e.what() == What.PROCESS && e.text().startsWith("crashed")) {
                c.broken(Rule.CRASHED, e, e.who() + " " + e.text(), List.of(e));
            } else if (e.what() == What.PROCESS && e.text().startsWith("reports ")) {
                c.broken(Rule.SELF_REPORTED, e, e.who() + " " + e.text(), List.of(e));
            } else if (e.what() == What.EXTRA) {
                c.broken(Rule.ANSWERED_TWICE, e, e.whom() + " sent more than one answer", List.of(e));
            }
        }
        c.found.sort(Comparator.comparingLong(Violation::atUs));
        return c.found;
    }

    private void broken(Rule rule, Entry at, String what, List<Entry> trace) {
        found.add(new Violation(rule, at.atUs(), what, trace));
    }

    // ---------------------------------------------------------------- one request
    private void checkRequest(List<Entry> trace) {
        Entry asked = first(trace, What.ASKED);
        if (asked == null) {
            return;
        }
        answers(asked, trace);
        List<Entry> begun = trace.stream().filter(e -> e.what() == What.BEGUN).toList();
        Entry left = first(trace, What.LEFT);
        if (left != null && begun.stream().noneMatch(b -> permitted.coversRequest(asked, b.atUs()))) {
            departedClients.add(left, closeForwardedAt(asked, left), begun, begun.stream().map(this::sentAtTheEarliest).toList(), trace);
        }
        for (int i = 1; i < begun.size(); i++) {
            Entry before = begun.get(i - 1);
            Entry next = begun.get(i);
            long over = overAt(before, trace);
            if (sentAt(next) < over - TimeSlack.OBSERVATION_US) {
                broken(Rule.TWO_OUT, next, asked.txn() + ": an attempt at " + next.who() + " while the one at " + before.who()
                        + " was out for " + (over == Long.MAX_VALUE ? "ever" : (over - sentAt(next)) / 1000 + " ms more"), trace);
            }
        }
        for (Entry b : terms.checksStatedTime() ? begun : List.<Entry>of()) {
            long leftMs = asked.number() - (sentAtTheEarliest(b) - forwardedAt(asked)) / 1000;
            long slackMs = STATED_TIME_SLACK_MS + TimeSlack.OBSERVATION_US / 1000;
            if (b.number() > leftMs + slackMs && !permitted.coversRequest(asked, b.atUs())) {
                broken(Rule.OVERSTATED, b, asked.txn() + ": told " + b.who() + " " + b.number() + " ms, its client had " + leftMs + " ms left", trace);
            }
        }
        RuleTerms.JobClass c = terms.classes().get(asked.jobClass());
        Entry ran = begun.stream().filter(b -> !wasTurnedAway(b, trace)).findFirst().orElse(null);
        for (Entry b : begun) {
            if (c == null || ran == null || b.atUs() <= ran.atUs()) {
                continue;
            }
            if (c.effect() == RuleTerms.Effect.UNSAFE) {
                broken(Rule.RESENT, b, asked.txn() + ": sent again to " + b.who() + " though it may have run at " + ran.who(), trace);
            } else if (c.effect() == RuleTerms.Effect.KEYED && sentAt(b) - ran.atUs() > (c.windowMs() + terms.slackMs()) * 1000) {
                broken(Rule.RESENT, b, asked.txn() + ": sent again to " + b.who() + " " + (b.atUs() - ran.atUs()) / 1000
                        + " ms after it may have run, past its key's window", trace);
            }
        }
    }

    private void answers(Entry asked, List<Entry> trace) {
        List<Entry> answers = trace.stream().filter(e -> e.what() == What.ANSWERED).toList();
        long dueUs = asked.atUs() + (asked.number() + terms.slackMs()) * 1000;
        Entry end = trace.stream().filter(e -> e.what() == What.UNHEARD || e.what() == What.CUT || e.what() == What.SILENT
                || e.what() == What.LEFT).findFirst().orElse(null);
        if (answers.isEmpty() && end != null && end.what() != What.LEFT && !permitted.coversRequest(asked, end.atUs())
                && !(end.what() == What.UNHEARD && first(trace, What.BEGUN) == null && mayNotHaveBeenRead(asked, end))) {
            broken(Rule.LOST, end, asked.txn() + ": " + asked.whom() + " took it and gave no answer (" + end.what() + ")", trace);
        }
        if (answers.size() > 1) {
            broken(Rule.ANSWERED_TWICE, answers.get(1), asked.txn() + ": answered " + answers.size() + " times", trace);
        }
        for (Entry a : answers) {
            if (a.number() == 200 && !"made".equals(a.text())) {
                broken(Rule.MADE_UP, a, asked.txn() + ": answered with what no cocinero made for it", trace);
            }
            if (a.atUs() > dueUs && !permitted.coversRequest(asked, a.atUs())) {
                broken(Rule.LOST, a, asked.txn() + ": answered " + (a.atUs() - asked.atUs()) / 1000 + " ms after it was asked, "
                        + asked.number() + " were given", trace);
            }
            if (a.number() == 503 || a.number() == 429) {
                if (terms.retryAfter() && a.text() == null) {
                    broken(Rule.NO_RETRY_AFTER, a, asked.txn() + ": rejected with no Retry-After", trace);
                }
                long last = trace.stream().filter(e -> e.what() == What.BEGUN).mapToLong(b -> overAtForDispatcher(b, a, trace)).max()
                        .orElse(asked.atUs());
                long kept = a.atUs() - Math.max(asked.atUs(), last);
                if (a.atUs() - asked.atUs() > asked.number() * 1000 * (1 - LATE_SHARE) && kept > IDLE_BEFORE_REJECT_US
                        && !permitted.coversRequest(asked, a.atUs())) {
                    broken(Rule.DELAYED, a, asked.txn() + ": rejected " + kept / 1000 + " ms after anything had happened to it", trace);
                }
            }
        }
    }

    /** A client sends a request once more that crossed the end of a resting connection; on a new one it does not. */
    private boolean mayNotHaveBeenRead(Entry asked, Entry unheard) {
        return !"new".equals(unheard.text()) || !terms.recordsProcesses() || permitted.coversNewConnection(asked, unheard.atUs());
    }

    private static boolean wasTurnedAway(Entry begun, List<Entry> trace) {
        Entry end = endOf(begun, trace);
        return end != null && ("returned".equals(end.text()) || "turned away".equals(end.text()));
    }

    /** The cocinero's own end of an attempt, or null. */
    private static Entry endOf(Entry begun, List<Entry> trace) {
        return trace.stream().filter(e -> e.what() == What.ENDED && e.who().equals(begun.who())
                && Objects.equals(e.conn(), begun.conn()) && e.atUs() >= begun.atUs()).findFirst().orElse(null);
    }

    /** When an attempt was over: its last line was written, or the dispatcher closed its connection. */
    private long overAt(Entry begun, List<Entry> trace) {
        Entry end = endOf(begun, trace);
        return Math.min(closedAt(begun), end == null ? Long.MAX_VALUE : end.atUs());
    }

    /** When the dispatcher closed an attempt's connection: earlier closings are those of its port's former connections. */
    private long closedAt(Entry begun) {
        return closed.getOrDefault(WorkerConnection.of(begun), List.of()).stream().filter(t -> t >= sentAt(begun)).findFirst()
                .orElse(Long.MAX_VALUE);
    }

    /** The same as the dispatcher knows it: what a fault on its way to the cocinero holds back it has not heard. */
    private long overAtForDispatcher(Entry begun, Entry answered, List<Entry> trace) {
        if (permitted.edgeFaulty(begun.whom(), begun.who(), begun.atUs(), answered.atUs())) {
            return closedAt(begun);
        }
        return overAt(begun, trace);
    }

    /** When a dispatcher's last bytes of an attempt were seen: relays may have held them since. */
    private long sentAt(Entry begun) {
        Entry last = lastSent(begun);
        return last == null ? begun.atUs() : last.atUs();
    }

    /** When it sent them, if the relays came late to them for all that they had to do. */
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

    /** When a client's close came to its dispatcher: until then it may have waited for the harness. */
    private long closeForwardedAt(Entry asked, Entry left) {
        for (long t : closeForwarded.getOrDefault(String.valueOf(asked.conn()), List.of())) {
            if (t >= left.atUs() - TimeSlack.OBSERVATION_US) {
                return Math.max(t, left.atUs());
            }
        }
        return left.atUs();
    }

    /** When a request came to its dispatcher: until then it may have waited for the harness. */
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
        // by the client's word: whether the key was passed on is a part of the question
        Map<String, String> keyOf = new HashMap<>();
        for (Entry e : all) {
            if (e.what() == What.ASKED && e.key() != null) {
                keyOf.put(e.txn(), e.key());
            }
            if (e.what() == What.STARTED && keyOf.containsKey(e.txn()) && !"repeat".equals(e.text())) {
                Entry before = started.put(keyOf.get(e.txn()), e);
                RuleTerms.JobClass c = terms.classes().get(e.jobClass());
                if (before != null && c != null && done(before) && e.atUs() - before.atUs() < c.windowMs() * 1000) {
                    broken(Rule.RAN_TWICE, e, "key " + keyOf.get(e.txn()) + " ran at " + before.who() + " and at " + e.who(), List.of(before, e));
                }
            }
        }
    }

    private boolean done(Entry started) {
        return all.stream().anyMatch(e -> e.what() == What.ENDED && "done".equals(e.text()) && Objects.equals(e.conn(), started.conn())
                && Objects.equals(e.txn(), started.txn()));
    }

    /** Of the processes after each dispatcher's first: how long they took to serve. */
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
            broken(Rule.SLOW_START, slow.get(0), slow.size() + " of " + restarts + " processes took over 10 s to serve", slow);
        }
    }

    private void checkDrains() {
        Map<String, Entry> told = new HashMap<>();
        List<Entry> inTime = new ArrayList<>(new DiscoveryNotifications(all).entries());
        all.stream().filter(e -> e.what() == What.BEGUN).forEach(inTime::add);
        inTime.sort(Comparator.comparingLong(Entry::atUs));
        for (Entry e : inTime) {
            if (e.what() == What.TOLD) {
                String way = e.who() + ">" + e.whom();
                if (e.text().equals("up")) {
                    told.remove(way);
                } else {
                    told.putIfAbsent(way, e);
                }
            } else if (e.what() == What.BEGUN) {
                Entry drain = told.get(e.whom() + ">" + e.who());
                if (drain != null && sentAt(e) - drain.atUs() > (terms.drainGraceMs() + terms.slackMs()) * 1000) {
                    broken(Rule.DRAIN, e, e.whom() + " sent " + e.txn() + " to " + e.who() + " " + (sentAt(e) - drain.atUs()) / 1000
                            + " ms after it was told: " + drain.text(), List.of(drain, e));
                }
            }
        }
    }
}
