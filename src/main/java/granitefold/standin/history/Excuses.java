package granitefold.standin.history;

import granitefold.standin.history.Entry.What;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Where somebody outside did what excuses a dispatcher: it was killed, stood still, was told to end and then killed, or
 * the edge to its clients was at fault.
 */
final class Excuses {
    /** A process that was continued first has to work off what came meanwhile. */
    private static final long AFTER_US = 1_000_000;

    private record Span(long fromUs, long untilUs) { }

    /** Of a dispatcher: times in which what it owed to clients was out of its hands. */
    private final Map<String, List<Span>> spans = new HashMap<>();

    Excuses(List<Entry> all) {
        Map<String, Long> stopped = new HashMap<>();
        Map<String, Long> faulty = new HashMap<>();
        for (Entry e : all) {
            if (e.what() == What.PROCESS) {
                switch (e.text()) {
                    case "killed" -> add(e.who(), e.atUs(), e.atUs());
                    case "stopped" -> stopped.put(e.who(), e.atUs());
                    case "continued" -> {
                        Long since = stopped.remove(e.who());
                        add(e.who(), since == null ? e.atUs() : since, e.atUs() + AFTER_US);
                    }
                    default -> { }
                }
            } else if (e.what() == What.FAULT && e.who().startsWith("clients>")) {
                String dispatcher = e.who().substring("clients>".length());
                if (e.text().equals("none")) {
                    Long since = faulty.remove(dispatcher);
                    add(dispatcher, since == null ? e.atUs() : since, e.atUs() + AFTER_US);
                } else {
                    faulty.putIfAbsent(dispatcher, e.atUs());
                }
            }
        }
        stopped.forEach((who, since) -> add(who, since, Long.MAX_VALUE));
        faulty.forEach((who, since) -> add(who, since, Long.MAX_VALUE));
    }

    private void add(String who, long from, long until) {
        spans.computeIfAbsent(who, w -> new ArrayList<>()).add(new Span(from, until));
    }

    /** Whether something excuses that a request had no answer in time from when it was asked to a moment. */
    boolean client(Entry asked, long untilUs) {
        return spans.getOrDefault(asked.whom(), List.of()).stream()
                .anyMatch(s -> s.fromUs <= untilUs + TimeSlack.SEEN_US && s.untilUs >= asked.atUs() - TimeSlack.SEEN_US);
    }
}
