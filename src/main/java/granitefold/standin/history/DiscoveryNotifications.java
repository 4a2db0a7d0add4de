package granitefold.standin.history;

import granitefold.standin.history.Entry.What;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The changes of which dispatchers were notified, or are deemed to have been: a change counts as notified once discovery has held
 * it and was reachable for 6 s without interruption, whether or not it arrived.
 */
final class DiscoveryNotifications {
    private static final long DEEMED_NOTIFIED_AFTER_US = 6_000_000;

    private record Span(long fromUs, long untilUs) { }

    private final List<Entry> all;
    /** Spans in which a dispatcher could not reach discovery; outages that affect all dispatchers are under the empty name. */
    private final Map<String, List<Span>> outages = new HashMap<>();

    DiscoveryNotifications(List<Entry> all) {
        this.all = all;
        Map<String, Long> since = new HashMap<>();
        for (Entry e : all) {
            boolean discovery = e.what() == What.FAULT && (e.who().equals("discovery") || e.who().endsWith(">discovery"));
            if (discovery) {
                String dispatcher = e.who().equals("discovery") ? "" : e.who().substring(0, e.who().indexOf('>'));
                if (!e.text().equals("none")) {
                    since.putIfAbsent(dispatcher, e.atUs());
                } else if (since.containsKey(dispatcher)) {
                    outages.computeIfAbsent(dispatcher, w -> new ArrayList<>()).add(new Span(since.remove(dispatcher), e.atUs()));
                }
            }
        }
        since.forEach((dispatcher, from) -> outages.computeIfAbsent(dispatcher, w -> new ArrayList<>()).add(new Span(from, Long.MAX_VALUE)));
    }

    /** Returns the real and the deemed notifications, in the order of time. */
    List<Entry> entries() {
        Set<String> dispatchers = new HashSet<>();
        List<Entry> found = new ArrayList<>();
        for (Entry e : all) {
            if (e.what() == What.TOLD) {
                dispatchers.add(e.who());
                found.add(e);
            }
        }
        for (int i = 0; i < all.size(); i++) {
            Entry e = all.get(i);
            if (e.what() != What.CHANGED) {
                continue;
            }
            Entry next = all.subList(i + 1, all.size()).stream()
                    .filter(n -> n.what() == What.CHANGED && n.whom().equals(e.whom())).findFirst().orElse(null);
            for (String d : dispatchers) {
                long at = deemedNotifiedAt(d, e.atUs());
                if (at != Long.MAX_VALUE && (next == null || next.atUs() > at)) {
                    found.add(new Entry(at, What.TOLD, d, e.whom(), null, null, null, null, null, 0, e.text()));
                }
            }
        }
        found.sort(Comparator.comparingLong(Entry::atUs));
        return found;
    }

    private long deemedNotifiedAt(String dispatcher, long changedAtUs) {
        long from = changedAtUs;
        List<Span> spans = new ArrayList<>(outages.getOrDefault("", List.of()));
        spans.addAll(outages.getOrDefault(dispatcher, List.of()));
        spans.sort(Comparator.comparingLong(Span::fromUs));
        for (Span s : spans) {
            if (s.untilUs > from && s.fromUs < from + DEEMED_NOTIFIED_AFTER_US) {
                from = s.untilUs;
            }
        }
        return from > Long.MAX_VALUE - DEEMED_NOTIFIED_AFTER_US ? Long.MAX_VALUE : from + DEEMED_NOTIFIED_AFTER_US;
    }
}
