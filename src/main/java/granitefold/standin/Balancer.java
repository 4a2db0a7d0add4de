package granitefold.standin;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in load balancer: it checks the health of its servers by the given rules, selects one by smooth weighted round robin
 * among the eligible ones, and forwards requests over persistent connections. It counts the requests of each server.
 */
public final class Balancer implements Closeable {
    /** The outcome of one request. */
    public enum Outcome { SERVED, REJECTED, FAILED, LOST }

    /** A dispatcher as a server; {@code agent} and {@code http}: the addresses of its checks, or null. */
    public record Target(String name, InetSocketAddress clients, InetSocketAddress agent, InetSocketAddress http) { }

    private static final int TIMEOUT_MS = 20_000;
    private static final double ENVOY_PANIC_SHARE = 0.5;

    private final class Backend {
        final Target target;
        final ServerState state;
        final ArrayDeque<HttpConnection> idle = new ArrayDeque<>();
        final AtomicLong sent = new AtomicLong();
        volatile long lastSentMs;
        ScheduledFuture<?> nextCheck;
        long nextCheckMs;
        int inFlight;
        double credit;

        Backend(Target target) {
            this.target = target;
            state = new ServerState(rules);
        }
    }

    private final CheckRules rules;
    private final List<Backend> backends = new ArrayList<>();
    private final ScheduledExecutorService checker;

    Balancer(CheckRules rules, List<Target> targets) {
        this.rules = rules;
        targets.forEach(t -> backends.add(new Backend(t)));
        checker = Executors.newScheduledThreadPool(Math.max(1, targets.size()), r -> {
            Thread t = new Thread(r, "balancer checks");
            t.setDaemon(true);
            return t;
        });
        if (rules.http() != null || rules.agent()) {
            backends.forEach(b -> checker.execute(() -> check(b)));
        }
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    // ---------------------------------------------------------------- checks
    private void check(Backend b) {
        AgentReply reply = null;
        int status = 0;
        boolean degraded = false;
        boolean fail = false;
        if (rules.agent()) {
            try (HttpConnection connection = HttpConnection.open(b.target.agent(), (int) rules.timeout())) {
                reply = AgentReply.parse(connection.readToEnd());
            } catch (IOException e) {
                // reply stays null
            }
        }
        if (rules.http() != null) {
            try (HttpConnection connection = HttpConnection.open(b.target.http(), (int) rules.timeout())) {
                connection.write("GET " + rules.http() + " HTTP/1.1\r\nHost: check\r\nConnection: close\r\n\r\n");
                if (connection.read()) {
                    status = connection.status();
                    degraded = connection.headers.containsKey("x-envoy-degraded");
                    fail = connection.headers.containsKey("x-envoy-immediate-health-check-fail");
                }
            } catch (IOException e) {
                // status stays 0
            }
        }
        synchronized (this) {
            if (rules.agent()) {
                b.state.agentReplied(reply);
            }
            if (rules.http() != null) {
                b.state.httpChecked(status, degraded, fail);
            }
            schedule(b);
        }
    }

    private void schedule(Backend b) {
        if (!checker.isShutdown()) {
            long delayMs = b.state.intervalMs();
            b.nextCheckMs = nowMs() + delayMs;
            b.nextCheck = checker.schedule(() -> check(b), delayMs, TimeUnit.MILLISECONDS);
        }
    }

    /** Handles a request that failed at a server; where the rules require it, the next check is brought forward. */
    private synchronized void requestFailed(Backend b) {
        b.state.requestFailed(nowMs());
        if (b.nextCheck != null && b.nextCheckMs - nowMs() > b.state.intervalMs() && b.nextCheck.cancel(false)) {
            schedule(b);
        }
    }

    // ---------------------------------------------------------------- selection
    private synchronized Backend select() {
        long nowMs = nowMs();
        List<Backend> candidates = new ArrayList<>();
        for (Backend b : backends) {
            if (b.state.eligible(nowMs) && b.inFlight < b.state.maxconn()) {
                candidates.add(b);
            }
        }
        if (rules.envoy()) {
            if (candidates.size() < ENVOY_PANIC_SHARE * backends.size()) {
                // below the panic threshold Envoy ignores health and uses all hosts
                candidates = backends;
            } else if (candidates.stream().anyMatch(b -> !b.state.degraded())) {
                candidates.removeIf(b -> b.state.degraded());
            }
        }
        Backend best = null;
        double totalWeight = 0;
        for (Backend b : candidates) {
            b.credit += b.state.weight();
            totalWeight += b.state.weight();
            best = best == null || b.credit > best.credit ? b : best;
        }
        if (best != null) {
            best.credit -= totalWeight;
            best.inFlight++;
            best.sent.incrementAndGet();
            best.lastSentMs = nowMs;
        }
        return best;
    }

    /** Forwards a request, in its wire format, to a server and returns the outcome. */
    public Outcome forward(String request) {
        Backend b = select();
        if (b == null) {
            return Outcome.LOST;
        }
        try {
            return forward(b, request);
        } catch (IOException e) {
            requestFailed(b);
            return Outcome.LOST;
        } finally {
            synchronized (this) {
                b.inFlight--;
            }
        }
    }

    private Outcome forward(Backend b, String request) throws IOException {
        HttpConnection connection;
        synchronized (b) {
            connection = b.idle.pollLast();
        }
        boolean reused = connection != null;
        while (true) {
            if (connection == null) {
                connection = HttpConnection.open(b.target.clients(), TIMEOUT_MS);
                reused = false;
            }
            try {
                connection.write(request);
                if (connection.read()) {
                    break;
                }
                throw new IOException("connection closed without an answer");
            } catch (IOException e) {
                connection.close();
                if (!reused || connection.messageStarted) {
                    throw e;
                }
                // the server closed the idle connection while the request was on its way: retry on a new one
                connection = null;
            }
        }
        if (rules.envoy() && connection.headers.containsKey("x-envoy-immediate-health-check-fail")) {
            synchronized (this) {
                b.state.failImmediately();
            }
        }
        int status = connection.status();
        if ("close".equalsIgnoreCase(connection.headers.get("connection"))) {
            connection.close();
        } else {
            synchronized (b) {
                b.idle.addLast(connection);
            }
        }
        return status == 200 ? Outcome.SERVED : status == 503 || status == 429 ? Outcome.REJECTED : Outcome.FAILED;
    }

    /** Returns the number of requests sent to a server so far. */
    public long sent(String name) {
        return backends.stream().filter(b -> b.target.name().equals(name)).mapToLong(b -> b.sent.get()).sum();
    }

    /** Returns when the last request was sent to a server, on the clock of {@link #nowMs}. */
    long lastSentMs(String name) {
        return backends.stream().filter(b -> b.target.name().equals(name)).mapToLong(b -> b.lastSentMs).max().orElse(0);
    }

    /** Returns whether a server may be sent new requests. */
    synchronized boolean eligible(String name) {
        return backends.stream().anyMatch(b -> b.target.name().equals(name) && b.state.eligible(nowMs()));
    }

    @Override
    public void close() throws IOException {
        checker.shutdownNow();
        for (Backend b : backends) {
            synchronized (b) {
                for (HttpConnection connection : b.idle) {
                    connection.close();
                }
            }
        }
    }
}
