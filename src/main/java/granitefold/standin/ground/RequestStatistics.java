package granitefold.standin.ground;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Outcomes of requests as the clients see them, by second, class, tenant and dispatcher. Retries count as part of the first
 * attempt, and latency counts from the time at which that was due, so that a delayed send does not improve the figures
 * (coordinated omission).
 */
public final class RequestStatistics {
    private static final int SIGNIFICANT_DIGITS = 3;

    /** How a request ended for its client. */
    public enum Outcome {
        IN_TIME, LATE, REJECTED, FAILED, LOST,
        /** The client closed the connection before its deadline. */
        LEFT
    }

    /** Counts, value and latency of a group of requests. */
    public static final class Summary {
        public long requests;
        public double requestedValue;
        public double servedValue;
        private final long[] outcomes = new long[Outcome.values().length];
        private final Histogram latencyUs = new Histogram(TimeUnit.MINUTES.toMicros(5), SIGNIFICANT_DIGITS);

        public long count(Outcome outcome) {
            return outcomes[outcome.ordinal()];
        }

        /** Returns the value of the requests served in time divided by the value of all requests. */
        public double servedValueShare() {
            return requestedValue == 0 ? 0 : servedValue / requestedValue;
        }

        /** Returns a percentile of the time to the final answer, in milliseconds. */
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

    /** Records a finished request. {@code dueUs}: relative to the start of the load; {@code dispatcher}: the sender of the last answer, or null. */
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

    /** Returns one summary for each second of the run, by the time at which requests were due. */
    public synchronized List<Summary> seconds() {
        return List.copyOf(seconds);
    }
}
