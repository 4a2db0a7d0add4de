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
 * Open-loop load: requests are sent at a steady rate whatever becomes of those before, and each counts once. A request
 * that finds no free sender waits for one, and its time counts from when it was due.
 */
public final class OpenLoopLoad {
    private static final int SENDERS = 256, DIGITS = 3, SLICES = 1200;
    private static final long SLICE_NS = 100_000_000, AIM_US = 300_000;
    private static final double STRETCH = 2;

    private final Balancer balancer;
    private final double perS;
    private final long workUs;
    private final String name;
    private final AtomicLong due = new AtomicLong();
    private final AtomicLongArray outcomes = new AtomicLongArray(Balancer.Outcome.values().length);
    private final Histogram latency = new ConcurrentHistogram(TimeUnit.MINUTES.toMicros(5), DIGITS);
    private final ExecutorService senders = Executors.newFixedThreadPool(SENDERS, r -> {
        Thread t = new Thread(r, "load");
        t.setDaemon(true);
        return t;
    });
    private volatile boolean over;
    /** Requests due and served in time, by tenths of a second since the start. */
    private final AtomicLongArray dueAt = new AtomicLongArray(SLICES);
    private final AtomicLongArray timelyAt = new AtomicLongArray(SLICES);
    private volatile long startedAt;
    private int sids = 16;
    private long seed;

    /** {@code name} marks its requests' ids; each job is hinted, and takes, {@code workUs}. */
    public OpenLoopLoad(String name, Balancer balancer, double perS, long workUs) {
        this.name = name;
        this.balancer = balancer;
        this.perS = perS;
        this.workUs = workUs;
    }

    /** Begins, on a thread of its own, and goes on for so many requests or until {@link #stop}. */
    public OpenLoopLoad begin(long requests) {
        LoopbackServer.startDaemon(() -> {
            long start = System.nanoTime();
            startedAt = start;
            for (long i = 0; i < requests && !over; i++) {
                long at = start + (long) (i * 1e9 / perS);
                while (at - System.nanoTime() > 0) {
                    LockSupport.parkNanos(at - System.nanoTime());
                }
                due.incrementAndGet();
                String id = name + "-" + i;
                senders.execute(() -> {
                    Balancer.Outcome outcome = balancer.carry(request(id));
                    int slice = (int) Math.min(SLICES - 1, (at - start) / SLICE_NS);
                    dueAt.incrementAndGet(slice);
                    if (outcome == Balancer.Outcome.SERVED && System.nanoTime() - at <= (AIM_US + STRETCH * workUs) * 1000) {
                        timelyAt.incrementAndGet(slice);
                    }
                    latency.recordValue(Math.min((System.nanoTime() - at) / 1000, latency.getHighestTrackableValue()));
                    outcomes.incrementAndGet(outcome.ordinal());
                });
            }
            over = true;
            senders.shutdown();
        }, "load schedule");
        return this;
    }

    private String request(String id) {
        int sid = (int) Math.floorMod((id.hashCode() + seed) * 0x9E3779B97F4A7C15L >>> 33, (long) sids);
        return "POST /ficha?sid=" + Integer.toHexString(sid) + " HTTP/1.1\r\nHost: x\r\nX-Txn: " + id
                + "\r\nX-Org: acme\r\nX-Remaining-Ms: 5000\r\nX-Estimate: " + workUs + "\r\nContent-Length: 4\r\n\r\nsoup";
    }

    /** Which of so many keys each request is about follows from its number and the seed. */
    OpenLoopLoad keys(int count, long seedOfKeys) {
        sids = count;
        seed = seedOfKeys;
        return this;
    }

    /** Tenths of a second since the start. */
    int slice() {
        return (int) ((System.nanoTime() - startedAt) / SLICE_NS);
    }

    /** Share of the requests due in these tenths of a second that were served in time. */
    double timely(int from, int to) {
        long asked = 0;
        long well = 0;
        for (int i = Math.max(0, from); i < Math.min(SLICES, to); i++) {
            asked += dueAt.get(i);
            well += timelyAt.get(i);
        }
        return asked == 0 ? 0 : (double) well / asked;
    }

    /** Sends nothing more. */
    public void stop() {
        over = true;
    }

    /** Waits for the last answer; false if it does not come. */
    public boolean await(long seconds) throws InterruptedException {
        return senders.awaitTermination(seconds, TimeUnit.SECONDS);
    }

    public long count(Balancer.Outcome outcome) {
        return outcomes.get(outcome.ordinal());
    }

    /** Requests that were due so far. */
    public long due() {
        return due.get();
    }

    /** A percentile of the time to an answer, in milliseconds. */
    public double latencyMs(double percentile) {
        return latency.getValueAtPercentile(percentile) / 1000.0;
    }
}
