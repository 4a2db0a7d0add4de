package granitefold.standin.ground;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * What became of requests, from the clients' side: by second, class, tenant and dispatcher. A client's retries belong to its
 * first attempt, and times count from when that was due, so that a request that waits for its turn does not flatter the figures.
 */
public final class RequestStatistics {
    private static final int SIGNIFICANT_DIGITS = 3;

    /** How a request ended for its client. */
    public enum Outcome {
        IN_TIME, LATE, REJECTED, FAILED, LOST,
        /** The client left of its own will. */
        LEFT
    }

    /** Counts and worth of some requests. */
    public static final class Summary {
        public long requests;
        public double requestedValue;
        public double servedValue;
        private final long[] outcomes = new long[Outcome.values().length];
        private final Histogram latencyUs = new Histogram(TimeUnit.MINUTES.toMicros(5), SIGNIFICANT_DIGITS);

        public long count(Outcome outcome) {
            return outcomes[outcome.ordinal()];
        }

        /** Worth served in time over worth asked for. */
        public double servedValueShare() {
            return requestedValue == 0 ? 0 : servedValue / requestedValue;
        }

        /** A percentile of the time to the final answer, milliseconds. */
        public double latencyMs(double percentile) {
            return latencyUs.getValueAtPercentile(percentile) / 1000.0;
        }

        private void add(Outcome outcome, double value, long latency) {
            requests++;
            outcomes[outcome.ordinal()]++;
            requestedValue += value;
            servedValue += outcome == Outcome.IN_TIME ? value : 0;
            latencyUs.recordValue(Math.min(Math.max(0, latency), latencyUs.getHighestTrackableValue()));
        }
    }

    private final Summary all = new Summary();
    private final Map<String, Summary> classes = new TreeMap<>();
    private final Map<String, Summary> tenants = new TreeMap<>();
    private final Map<String, Summary> dispatchers = new TreeMap<>();
    private final List<Summary> seconds = new ArrayList<>();

    /** A request has ended. {@code dueUs}: after clients began; {@code dispatcher}: who gave the last answer, or null. */
    synchronized void add(long dueUs, String jobClass, String tenant, String dispatcher, Outcome outcome, double value, long tookUs) {
        int second = (int) (dueUs / 1_000_000);
        while (seconds.size() <= second) {
            seconds.add(new Summary());
        }
        all.add(outcome, value, tookUs);
        seconds.get(second).add(outcome, value, tookUs);
        classes.computeIfAbsent(jobClass, c -> new Summary()).add(outcome, value, tookUs);
        tenants.computeIfAbsent(tenant, c -> new Summary()).add(outcome, value, tookUs);
        dispatchers.computeIfAbsent(dispatcher == null ? "none" : dispatcher, c -> new Summary()).add(outcome, value, tookUs);
    }

    public Summary all() {
        return all;
    }

    public Map<String, Summary> classes() {
        return classes;
    }

    public Map<String, Summary> tenants() {
        return tenants;
    }

    public Map<String, Summary> dispatchers() {
        return dispatchers;
    }

    /** By the second in which requests were due. */
    public synchronized List<Summary> seconds() {
        return List.copyOf(seconds);
    }
}
