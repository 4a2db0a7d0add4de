package granitefold.standin.history;

import granitefold.standin.history.Entry.What;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** How long the kernel kept each dispatcher's threads that handle input waiting for a processor, from the recorded samples. */
final class ProcessorWaits {
    private final Map<String, List<Span>> spans = new HashMap<>();

    private record Span(long fromUs, long untilUs) { }

    /** {@code sorted}: a complete history in the order of time. */
    ProcessorWaits(List<Entry> sorted) {
        for (Entry e : sorted) {
            if (e.what() == What.LATE && e.text() != null) {
                // the kernel counts a wait at its end, so that it may have begun before the interval of the sample
                spans.computeIfAbsent(e.who(), who -> new ArrayList<>()).add(new Span(e.atUs() - e.number(), e.atUs()));
            }
        }
        spans.values().forEach(ofDispatcher -> ofDispatcher.sort(Comparator.comparingLong(Span::fromUs)));
    }

    /** Returns how long, between two times, a dispatcher waited for a processor; threads that waited at the same time count once. */
    long between(String dispatcher, long fromUs, long untilUs) {
        long waitedUs = 0;
        long countedUntilUs = fromUs;
        for (Span span : spans.getOrDefault(dispatcher, List.of())) {
            long startUs = Math.max(span.fromUs, countedUntilUs);
            long endUs = Math.min(span.untilUs, untilUs);
            if (endUs > startUs) {
                waitedUs += endUs - startUs;
                countedUntilUs = endUs;
            }
        }
        return waitedUs;
    }
}
