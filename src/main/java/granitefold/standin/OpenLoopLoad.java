package granitefold.standin;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Open-loop load: requests are sent at a constant rate, whether or not earlier ones have been answered. A request that finds
 * no free sender thread waits for one, and its latency is counted from the time at which it was due.
 */
public final class OpenLoopLoad {
    private static final int SENDERS = 256, HISTOGRAM_DIGITS = 3, SLICES = 1200;
    private static final long SLICE_NS = 100_000_000, ON_TIME_US = 300_000;
    private static final double WORK_STRETCH = 2;

    private final Balancer balancer;
    private final double ratePerS;
    private final long workUs;
    private final String name;
    private final AtomicLong due = new AtomicLong();
    private final AtomicLongArray outcomes = new AtomicLongArray(Balancer.Outcome.values().length);
    private final Histogram latency = new ConcurrentHistogram(TimeUnit.MINUTES.toMicros(5), HISTOGRAM_DIGITS);
    private final ExecutorService senders = Executors.newFixedThreadPool(SENDERS, r -> {
        Thread t = new Thread(r, "load");
        t.setDaemon(true);
        return t;
    });
    private volatile boolean ended;
    /** Requests that were due, by slices of 100 ms since the start. */
    private final AtomicLongArray dueBySlice = new AtomicLongArray(SLICES);
    /** Requests that were due in each slice and were served on time. */
    private final AtomicLongArray onTimeBySlice = new AtomicLongArray(SLICES);
    private volatile long startedNs;
    private int keys = 16;
    private long keySeed;

    /** {@code name} is the prefix of the request ids; each job takes {@code workUs} and announces that as its estimate. */
    public OpenLoopLoad(String name, Balancer balancer, double ratePerS, long workUs) {
        this.name = name;
        this.balancer = balancer;
        this.ratePerS = ratePerS;
        this.workUs = workUs;
    }

    /** Starts sending on a thread of its own, until all requests have been sent or {@link #stop} is called. */
    public OpenLoopLoad start(long requests) {
        LoopbackServer.startDaemon(() -> {
            long start = System.nanoTime();
            startedNs = start;
            for (long i = 0; i < requests && !ended; i++) {
                long dueNs = start + (long) (i * 1e9 / ratePerS);
                while (dueNs - System.nanoTime() > 0) {
                    LockSupport.parkNanos(dueNs - System.nanoTime());
                }
                due.incrementAndGet();
                String id = name + "-" + i;
                senders.execute(() -> {
                    Balancer.Outcome outcome = balancer.forward(request(id));
                    int slice = (int) Math.min(SLICES - 1, (dueNs - start) / SLICE_NS);
                    dueBySlice.incrementAndGet(slice);
                    if (outcome == Balancer.Outcome.SERVED
                            && System.nanoTime() - dueNs <= (ON_TIME_US + WORK_STRETCH * workUs) * 1000) {
                        onTimeBySlice.incrementAndGet(slice);
                    }
                    latency.recordValue(Math.min((System.nanoTime() - dueNs) / 1000, latency.getHighestTrackableValue()));
                    outcomes.incrementAndGet(outcome.ordinal());
                });
            }
            ended = true;
            senders.shutdown();
        }, "load schedule");
        return this;
    }

    private String request(String id) {
        int key = (int) Math.floorMod((id.hashCode() + keySeed) * 0x9E3779B97F4A7C15L >>> 33, (long) keys);
        return "POST /ficha?sid=" + Integer.toHexString(key) + " HTTP/1.1\r\nHost: x\r\nX-Txn: " + id
                + "\r\nX-Org: acme\r\nX-Remaining-Ms: 5000\r\nX-Estimate: " + workUs + "\r\nContent-Length: 4\r\n\r\nsoup";
    }

    /** Sets the number of keys, and the seed that determines together with its id which key a request has. */
    OpenLoopLoad keys(int count, long seed) {
        keys = count;
        keySeed = seed;
        return this;
    }

    /** Returns the current slice of 100 ms, counted from the start. */
    int slice() {
        return (int) ((System.nanoTime() - startedNs) / SLICE_NS);
    }

    /** Returns the share of the requests due in slices {@code from} to {@code to} (exclusive) that were served on time. */
    double onTimeShare(int from, int to) {
        long dueCount = 0;
        long onTime = 0;
        for (int i = Math.max(0, from); i < Math.min(SLICES, to); i++) {
            dueCount += dueBySlice.get(i);
            onTime += onTimeBySlice.get(i);
        }
        return dueCount == 0 ? 0 : (double) onTime / dueCount;
    }

    /** Stops sending. */
    public void stop() {
        ended = true;
    }

    /** Waits for the last answer; returns false on timeout. */
    public boolean await(long seconds) throws InterruptedException {
        return senders.awaitTermination(seconds, TimeUnit.SECONDS);
    }

    public long count(Balancer.Outcome outcome) {
        return outcomes.get(outcome.ordinal());
    }

    /** Returns the number of requests that were due so far. */
    public long due() {
        return due.get();
    }

    /** Returns a percentile of the latency in milliseconds. */
    public double latencyMs(double percentile) {
        return latency.getValueAtPercentile(percentile) / 1000.0;
    }
}
