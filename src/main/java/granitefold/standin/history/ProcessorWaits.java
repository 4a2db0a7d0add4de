package granitefold.standin.history;

import granitefold.standin.history.Entry.What;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** How long the kernel kept each dispatcher's event loop waiting for a processor on a busy machine, from the recorded samples. */
final class ProcessorWaits {
    private final Map<String, List<Sample>> samples = new HashMap<>();

    /** {@code waitUs}: the time without a processor, which lies between the two times. */
    private record Sample(long fromUs, long untilUs, long waitUs) {
        /** Returns the longest time within the two bounds in which the event loop may have waited. */
        long maxWaitUs(long boundFromUs, long boundUntilUs) {
            long overlapUs = Math.min(untilUs, boundUntilUs) - Math.max(fromUs, boundFromUs);
            return Math.max(0, Math.min(waitUs, overlapUs));
        }
    }

    ProcessorWaits(List<Entry> all) {
        for (Entry e : all) {
            if (e.what() == What.LATE && e.text() != null) {
                // the kernel counts a wait at its end, so that it may have begun before the interval of the sample
                long fromUs = e.atUs() - Long.parseLong(e.text()) - e.number();
                samples.computeIfAbsent(e.who(), who -> new ArrayList<>()).add(new Sample(fromUs, e.atUs(), e.number()));
            }
        }
    }

    /** Returns the longest time between the two times in which a dispatcher may have waited for a processor. */
    long maxBetween(String dispatcher, long fromUs, long untilUs) {
        return samples.getOrDefault(dispatcher, List.of()).stream().mapToLong(s -> s.maxWaitUs(fromUs, untilUs)).sum();
    }
}
