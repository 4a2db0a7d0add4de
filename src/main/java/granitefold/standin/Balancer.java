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
            backends.forEach(backend -> checker.execute(() -> check(backend)));
        }
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    // ---------------------------------------------------------------- checks
    private void check(Backend backend) {
        AgentReply reply = null;
        int status = 0;
        boolean degraded = false;
        boolean fail = false;
        if (rules.agent()) {
            try (HttpConnection connection = HttpConnection.open(backend.target.agent(), (int) rules.timeout())) {
                reply = AgentReply.parse(connection.readToEnd());
            } catch (IOException e) {
                // reply stays null
            }
        }
        if (rules.http() != null) {
            try (HttpConnection connection = HttpConnection.open(backend.target.http(), (int) rules.timeout())) {
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
                backend.state.agentReplied(reply);
            }
            if (rules.http() != null) {
                backend.state.httpChecked(status, degraded, fail);
            }
            schedule(backend);
        }
    }

    private void schedule(Backend backend) {
        if (!checker.isShutdown()) {
            long delayMs = backend.state.intervalMs();
            backend.nextCheckMs = nowMs() + delayMs;
            backend.nextCheck = checker.schedule(() -> check(backend), delayMs, TimeUnit.MILLISECONDS);
        }
    }

    /** Handles a request that failed at a server; where the rules require it, the next check is brought forward. */
    private synchronized void requestFailed(Backend backend) {
        backend.state.requestFailed(nowMs());
        if (backend.nextCheck != null && backend.nextCheckMs - nowMs() > backend.state.intervalMs() && backend.nextCheck.cancel(false)) {
            schedule(backend);
        }
    }

    // ---------------------------------------------------------------- selection
    private synchronized Backend select() {
        long nowMs = nowMs();
        List<Backend> candidates = new ArrayList<>();
        for (Backend backend : backends) {
            if (backend.state.eligible(nowMs) && backend.inFlight < backend.state.maxconn()) {
                candidates.add(backend);
            }
        }
        if (rules.envoy()) {
            if (candidates.size() < ENVOY_PANIC_SHARE * backends.size()) {
                // below the panic threshold Envoy ignores health and uses all hosts
                candidates = backends;
            } else if (candidates.stream().anyMatch(backend -> !backend.state.degraded())) {
                candidates.removeIf(backend -> backend.state.degraded());
            }
        }
        Backend best = null;
        double totalWeight = 0;
        for (Backend backend : candidates) {
            backend.credit += backend.state.weight();
            totalWeight += backend.state.weight();
            best = best == null || backend.credit > best.credit ? backend : best;
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
        Backend backend = select();
        if (backend == null) {
            return Outcome.LOST;
        }
        try {
            return forward(backend, request);
        } catch (IOException e) {
            requestFailed(backend);
            return Outcome.LOST;
        } finally {
            synchronized (this) {
                backend.inFlight--;
            }
        }
    }

    private Outcome forward(Backend backend, String request) throws IOException {
        HttpConnection connection;
        synchronized (backend) {
            connection = backend.idle.pollLast();
        }
        boolean reused = connection != null;
        while (true) {
            if (connection == null) {
                connection = HttpConnection.open(backend.target.clients(), TIMEOUT_MS);
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
                backend.state.failImmediately();
            }
        }
        int status = connection.status();
        if ("close".equalsIgnoreCase(connection.headers.get("connection"))) {
            connection.close();
        } else {
            synchronized (backend) {
                backend.idle.addLast(connection);
            }
        }
        return status == 200 ? Outcome.SERVED : status == 503 || status == 429 ? Outcome.REJECTED : Outcome.FAILED;
    }

    /** Returns the number of requests sent to a server so far. */
    public long sent(String name) {
        return backends.stream().filter(backend -> backend.target.name().equals(name)).mapToLong(backend -> backend.sent.get()).sum();
    }

    /** Returns when the last request was sent to a server, on the clock of {@link #nowMs}. */
    long lastSentMs(String name) {
        return backends.stream().filter(backend -> backend.target.name().equals(name)).mapToLong(backend -> backend.lastSentMs).max().orElse(0);
    }

    /** Returns whether a server may be sent new requests. */
    synchronized boolean eligible(String name) {
        return backends.stream().anyMatch(backend -> backend.target.name().equals(name) && backend.state.eligible(nowMs()));
    }

    @Override
    public void close() throws IOException {
        checker.shutdownNow();
        for (Backend backend : backends) {
            synchronized (backend) {
                for (HttpConnection connection : backend.idle) {
                    connection.close();
                }
            }
        }
    }
}
