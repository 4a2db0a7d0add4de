package granitefold.standin.history;

import granitefold.standin.history.Entry.What;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The spans in which injected faults permit a dispatcher to break rules: it was killed or stopped, was unavailable, or the edge to
 * its clients was faulty.
 */
final class PermittedViolations {
    /** A continued process needs this long to process its backlog. */
    private static final long CATCH_UP_US = 1_000_000;

    private record Span(long fromUs, long untilUs) { }

    /** For each dispatcher, the spans in which it may fail to answer accepted requests. */
    private final Map<String, List<Span>> excused = new HashMap<>();
    /** For each dispatcher, the spans in which new connections may fail or be closed unread; for each edge, the spans of its faults. */
    private final Map<String, List<Span>> unavailable = new HashMap<>();

    PermittedViolations(List<Entry> all) {
        Map<String, Long> stopped = new HashMap<>();
        Map<String, Long> faulty = new HashMap<>();
        Map<String, Long> killed = new HashMap<>();
        for (Entry e : all) {
            if (e.what() == What.PROCESS) {
                switch (e.text()) {
                    case "killed" -> {
                        add(e.who(), e.atUs(), e.atUs());
                        killed.putIfAbsent(e.who(), e.atUs());
                    }
                    case "exited", "gone" -> {
                        // the signal takes effect with a delay
                        Long since = killed.remove(e.who());
                        if (since != null) {
                            add(e.who(), since, e.atUs());
                        }
                    }
                    case "stopped" -> stopped.put(e.who(), e.atUs());
                    case "continued" -> {
                        Long since = stopped.remove(e.who());
                        add(e.who(), since == null ? e.atUs() : since, e.atUs() + CATCH_UP_US);
                    }
                    default -> { }
                }
            } else if (e.what() == What.FAULT && e.who().startsWith("clients>")) {
                String dispatcher = e.who().substring("clients>".length());
                if (e.text().equals("none")) {
                    Long since = faulty.remove(dispatcher);
                    add(dispatcher, since == null ? e.atUs() : since, e.atUs() + CATCH_UP_US);
                } else {
                    faulty.putIfAbsent(dispatcher, e.atUs());
                }
            }
        }
        addUnavailability(all);
        addEdgeFaults(all);
        stopped.forEach((who, since) -> add(who, since, Long.MAX_VALUE));
        faulty.forEach((who, since) -> add(who, since, Long.MAX_VALUE));
    }

    /** A dispatcher is unavailable from the exit of its last process until the next is ready, and while idle connections fill its limit. */
    private void addUnavailability(List<Entry> all) {
        Map<String, Integer> alive = new HashMap<>();
        Map<String, Long> since = new HashMap<>();
        for (Entry e : all) {
            if (e.what() == What.FAULT && e.who().startsWith("crowd>")) {
                mark(since, e.who().substring("crowd>".length()), e, !e.text().equals("none"));
            } else if (e.what() == What.PROCESS && e.text().equals("started")) {
                alive.merge(e.who(), 1, Integer::sum);
            } else if (e.what() == What.PROCESS && (e.text().equals("exited") || e.text().startsWith("crashed"))) {
                mark(since, e.who(), e, alive.merge(e.who(), -1, Integer::sum) <= 0);
            } else if (e.what() == What.PROCESS && (e.text().equals("killed") || e.text().equals("ready"))) {
                mark(since, e.who(), e, e.text().equals("killed"));
            }
        }
        since.forEach((who, from) -> unavailable.computeIfAbsent(who, w -> new ArrayList<>()).add(new Span(from, Long.MAX_VALUE)));
    }

    private void mark(Map<String, Long> since, String who, Entry e, boolean begins) {
        if (begins) {
            since.putIfAbsent(who, e.atUs());
        } else if (since.containsKey(who)) {
            unavailable.computeIfAbsent(who, w -> new ArrayList<>()).add(new Span(since.remove(who), e.atUs()));
        }
    }

    private void addEdgeFaults(List<Entry> all) {
        Map<String, Long> since = new HashMap<>();
        for (Entry e : all) {
            if (e.what() == What.FAULT && e.who().contains(">")) {
                mark(since, e.who(), e, !e.text().equals("none"));
            }
        }
        since.forEach((edge, from) -> unavailable.computeIfAbsent(edge, w -> new ArrayList<>()).add(new Span(from, Long.MAX_VALUE)));
    }

    /** Returns whether an edge was faulty at some time in the interval. */
    boolean edgeFaulty(String from, String to, long sinceUs, long untilUs) {
        return unavailable.getOrDefault(from + ">" + to, List.of()).stream().anyMatch(s -> s.fromUs <= untilUs && s.untilUs >= sinceUs);
    }

    /** Returns whether a new connection may have ended without an answer, given that no attempt was sent for its request. */
    boolean coversNewConnection(Entry asked, long untilUs) {
        return overlaps(unavailable, asked, untilUs);
    }

    private void add(String who, long from, long until) {
        excused.computeIfAbsent(who, w -> new ArrayList<>()).add(new Span(from, until));
    }

    /** Returns whether a request may have received no answer in time, between its send and {@code untilUs}. */
    boolean coversRequest(Entry asked, long untilUs) {
        return overlaps(excused, asked, untilUs);
    }

    private static boolean overlaps(Map<String, List<Span>> in, Entry asked, long untilUs) {
        return in.getOrDefault(asked.whom(), List.of()).stream()
                .anyMatch(s -> s.fromUs <= untilUs + TimeSlack.OBSERVATION_US && s.untilUs >= asked.atUs() - TimeSlack.OBSERVATION_US);
    }
}
