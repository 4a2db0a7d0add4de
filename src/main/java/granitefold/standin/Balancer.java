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
 * A stand-in balancer: it checks its servers by its rules, picks one by smooth weighted round robin among those that
 * may have new traffic, and carries requests over kept connections. It counts what went where and when.
 */
public final class Balancer implements Closeable {
    /** What became of one request. */
    public enum Outcome { SERVED, REJECTED, FAILED, LOST }

    /** A dispatcher as a balancer knows it; {@code agent} and {@code http}: where its checks are, or null. */
    public record Target(String name, InetSocketAddress clients, InetSocketAddress agent, InetSocketAddress http) { }

    private static final int PATIENCE_MS = 20_000;
    private static final double ENVOY_PANIC = 0.5;

    private final class Back {
        final Target target;
        final ServerTrack track;
        final ArrayDeque<HttpConnection> idle = new ArrayDeque<>();
        final AtomicLong sent = new AtomicLong();
        volatile long lastSent;
        ScheduledFuture<?> next;
        long nextAt;
        int out;
        double credit;

        Back(Target target) {
            this.target = target;
            track = new ServerTrack(rules);
        }
    }

    private final CheckRules rules;
    private final List<Back> backs = new ArrayList<>();
    private final ScheduledExecutorService checker;

    Balancer(CheckRules rules, List<Target> targets) {
        this.rules = rules;
        targets.forEach(t -> backs.add(new Back(t)));
        checker = Executors.newScheduledThreadPool(Math.max(1, targets.size()), r -> {
            Thread t = new Thread(r, "balancer checks");
            t.setDaemon(true);
            return t;
        });
        if (rules.http() != null || rules.agent()) {
            backs.forEach(b -> checker.execute(() -> check(b)));
        }
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    // ---------------------------------------------------------------- checks
    private void check(Back b) {
        AgentReply reply = null;
        int status = 0;
        boolean degraded = false;
        boolean fail = false;
        if (rules.agent()) {
            try (HttpConnection e = HttpConnection.open(b.target.agent(), (int) rules.timeout())) {
                reply = AgentReply.parse(e.readToEnd());
            } catch (IOException e) {
                // says nothing
            }
        }
        if (rules.http() != null) {
            try (HttpConnection e = HttpConnection.open(b.target.http(), (int) rules.timeout())) {
                e.write("GET " + rules.http() + " HTTP/1.1\r\nHost: check\r\nConnection: close\r\n\r\n");
                if (e.read()) {
                    status = e.status();
                    degraded = e.headers.containsKey("x-envoy-degraded");
                    fail = e.headers.containsKey("x-envoy-immediate-health-check-fail");
                }
            } catch (IOException e) {
                // status 0
            }
        }
        synchronized (this) {
            if (rules.agent()) {
                b.track.agent(reply);
            }
            if (rules.http() != null) {
                b.track.checked(status, degraded, fail);
            }
            schedule(b);
        }
    }

    private void schedule(Back b) {
        if (!checker.isShutdown()) {
            long wait = b.track.interval();
            b.nextAt = now() + wait;
            b.next = checker.schedule(() -> check(b), wait, TimeUnit.MILLISECONDS);
        }
    }

    /** A request failed there: where the rules say so the next check comes sooner. */
    private synchronized void failed(Back b) {
        b.track.failed(now());
        if (b.next != null && b.nextAt - now() > b.track.interval() && b.next.cancel(false)) {
            schedule(b);
        }
    }

    // ---------------------------------------------------------------- picks
    private synchronized Back pick() {
        long now = now();
        List<Back> can = new ArrayList<>();
        for (Back b : backs) {
            if (b.track.eligible(now) && b.out < b.track.maxconn()) {
                can.add(b);
            }
        }
        if (rules.envoy()) {
            if (can.size() < ENVOY_PANIC * backs.size()) {
                // the panic threshold: so few are healthy that health is left out of it
                can = backs;
            } else if (can.stream().anyMatch(b -> !b.track.degraded())) {
                can.removeIf(b -> b.track.degraded());
            }
        }
        Back best = null;
        double all = 0;
        for (Back b : can) {
            b.credit += b.track.weight();
            all += b.track.weight();
            best = best == null || b.credit > best.credit ? b : best;
        }
        if (best != null) {
            best.credit -= all;
            best.out++;
            best.sent.incrementAndGet();
            best.lastSent = now;
        }
        return best;
    }

    /** Carries one request, as it is on the wire, to a server and tells what became of it. */
    public Outcome carry(String request) {
        Back b = pick();
        if (b == null) {
            return Outcome.LOST;
        }
        try {
            return carry(b, request);
        } catch (IOException e) {
            failed(b);
            return Outcome.LOST;
        } finally {
            synchronized (this) {
                b.out--;
            }
        }
    }

    private Outcome carry(Back b, String request) throws IOException {
        HttpConnection e;
        synchronized (b) {
            e = b.idle.pollLast();
        }
        boolean kept = e != null;
        while (true) {
            if (e == null) {
                e = HttpConnection.open(b.target.clients(), PATIENCE_MS);
                kept = false;
            }
            try {
                e.write(request);
                if (e.read()) {
                    break;
                }
                throw new IOException("closed without an answer");
            } catch (IOException broken) {
                e.close();
                if (!kept || e.messageStarted) {
                    throw broken;
                }
                // the close of a kept connection crossed the request: once more on a new one
                e = null;
            }
        }
        if (rules.envoy() && e.headers.containsKey("x-envoy-immediate-health-check-fail")) {
            synchronized (this) {
                b.track.failNow();
            }
        }
        int status = e.status();
        if ("close".equalsIgnoreCase(e.headers.get("connection"))) {
            e.close();
        } else {
            synchronized (b) {
                b.idle.addLast(e);
            }
        }
        return status == 200 ? Outcome.SERVED : status == 503 || status == 429 ? Outcome.REJECTED : Outcome.FAILED;
    }

    /** Requests sent to a server so far. */
    public long sent(String name) {
        return backs.stream().filter(b -> b.target.name().equals(name)).mapToLong(b -> b.sent.get()).sum();
    }

    /** When a server was last sent a request, in {@link #now}'s milliseconds. */
    long lastSent(String name) {
        return backs.stream().filter(b -> b.target.name().equals(name)).mapToLong(b -> b.lastSent).max().orElse(0);
    }

    /** Whether a server may have new traffic. */
    synchronized boolean eligible(String name) {
        return backs.stream().anyMatch(b -> b.target.name().equals(name) && b.track.eligible(now()));
    }

    @Override
    public void close() throws IOException {
        checker.shutdownNow();
        for (Back b : backs) {
            synchronized (b) {
                for (HttpConnection e : b.idle) {
                    e.close();
                }
            }
        }
    }
}
