package granitefold.standin.ground;

import granitefold.standin.HttpConnection;
import granitefold.standin.LoopbackServer;
import granitefold.standin.history.Entry;
import granitefold.standin.history.Entry.What;
import granitefold.standin.history.History;
import granitefold.standin.history.Terms;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Open-loop clients. Requests come by chance at a rate of each tenant, whatever becomes of those before. Connections are kept
 * and used again; another one is opened, where the front says, when all are busy. A client comes again after a reject, with a
 * new id; some leave before their time is up.
 */
final class Clients {
    private static final int CONNECT_MS = 1000, BODY_MOST = 64;
    /** How much longer than its time a client listens, so that a late answer is seen. */
    static final long LISTENS_MS = 1500;
    private static final long BACKOFF_MS = 30, HONOURED_MS = 2000;

    /** What one request asks for, drawn before it is due. */
    private record Wanted(long number, long dueUs, String jobClass, String tenant, long workUs, int sid, double impatience, boolean honours) { }

    private static final class Kept {
        final HttpConnection exchange;
        final Member member;

        Kept(HttpConnection exchange, Member member) {
            this.exchange = exchange;
            this.member = member;
        }
    }

    private final Scenario scenario;
    private final Front front;
    private final History history;
    final RequestStatistics statistics = new RequestStatistics();
    private final UniformRandomProvider random;
    private final Deque<Kept> idle = new ArrayDeque<>();
    private final Map<String, Double> rates = new HashMap<>();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong out = new AtomicLong();
    private final ExecutorService threads = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r, "client");
        t.setDaemon(true);
        return t;
    });
    private volatile boolean over;
    private volatile long beganUs;
    private volatile double rate;

    Clients(Scenario scenario, Front front, History history, long seed) {
        this.scenario = scenario;
        this.front = front;
        this.history = history;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        rate = scenario.load().perS();
        scenario.tenants().forEach((t, x) -> rates.put(t, x.share() * x.usage()));
    }

    /** Begins to ask; ends by itself. */
    void begin() {
        beganUs = history.now();
        LoopbackServer.startDaemon(this::schedule, "clients");
    }

    /** Microseconds since clients began. */
    long sinceUs() {
        return history.now() - beganUs;
    }

    long beganUs() {
        return beganUs;
    }

    /** From now on so many times the scenario's rate. */
    void rate(double times) {
        rate = scenario.load().perS() * times;
    }

    /** From now on a tenant asks for so many times its share. */
    synchronized void tenantRate(String tenant, double times) {
        rates.put(tenant, scenario.tenants().get(tenant).share() * times);
    }

    long served() {
        return served.get();
    }

    boolean over() {
        return over && out.get() == 0;
    }

    void stop() {
        over = true;
    }

    private void schedule() {
        Map<String, ContinuousSampler> works = new HashMap<>();
        scenario.classes().forEach((name, c) -> works.put(name, sampler(c)));
        double at = 0;
        for (long i = 0; !over; i++) {
            double all;
            synchronized (this) {
                all = rates.values().stream().mapToDouble(r -> r).sum();
            }
            at += -Math.log(1 - random.nextDouble()) / Math.max(1e-6, rate * all) * 1e6;
            if (at > scenario.lengthUs()) {
                break;
            }
            String jobClass = pick(scenario.classes().keySet().iterator(), c -> scenario.classes().get(c).share());
            String tenant;
            synchronized (this) {
                tenant = pick(scenario.tenants().keySet().iterator(), rates::get);
            }
            ContinuousSampler s = works.get(jobClass);
            long work = (long) (s == null ? scenario.classes().get(jobClass).workUs() : Math.min(s.sample(), 8 * scenario.classes().get(jobClass).workUs()));
            Wanted w = new Wanted(i, (long) at, jobClass, tenant, work, (int) (64 * random.nextDouble() * random.nextDouble()),
                    random.nextDouble() < scenario.load().impatient() ? random.nextDouble() : 0, random.nextDouble() < scenario.load().honour());
            long untilNs = (long) ((beganUs + at - history.now()) * 1000);
            if (untilNs > 0) {
                LockSupport.parkNanos(untilNs);
                while (history.now() < beganUs + (long) at) {
                    Thread.onSpinWait();
                }
            }
            out.incrementAndGet();
            threads.execute(() -> {
                try {
                    ask(w);
                } finally {
                    out.decrementAndGet();
                }
            });
        }
        over = true;
    }

    private ContinuousSampler sampler(Scenario.JobClass c) {
        if (c.spread() == 0) {
            return null;
        }
        double sigma = Math.sqrt(Math.log(1 + c.spread() * c.spread()));
        return LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(random), Math.log(Math.max(1, c.workUs())) - sigma * sigma / 2, sigma);
    }

    private String pick(java.util.Iterator<String> names, java.util.function.ToDoubleFunction<String> weight) {
        List<String> all = new java.util.ArrayList<>();
        names.forEachRemaining(all::add);
        double left = random.nextDouble() * all.stream().mapToDouble(weight).sum();
        for (String n : all) {
            left -= weight.applyAsDouble(n);
            if (left < 0) {
                return n;
            }
        }
        return all.get(all.size() - 1);
    }

    // ---------------------------------------------------------------- one request with its retries
    private record Answer(What what, int status, String retryAfter, String dispatcher) { }

    private void ask(Wanted w) {
        Scenario.JobClass c = scenario.classes().get(w.jobClass);
        long dueUs = beganUs + w.dueUs;
        String key = c.effect() == Terms.Effect.KEYED ? String.format(Locale.ROOT, "%016x%016x", w.number, w.workUs) : null;
        Answer a = null;
        for (int n = 0; n <= scenario.load().retries(); n++) {
            a = once(w, c, key, n);
            if (a.what != What.ANSWERED || a.status != 503 && a.status != 429 || n == scenario.load().retries()) {
                break;
            }
            double after = a.retryAfter != null && w.honours ? Math.min(HONOURED_MS, 1000 * Double.parseDouble(a.retryAfter)) : 0;
            LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos((long) (1000 * Math.max(after, BACKOFF_MS << n))));
        }
        long took = history.now() - dueUs;
        // a result of another request is the checker's matter; here it is an answer
        RequestStatistics.Outcome end = a.what == What.LEFT ? RequestStatistics.Outcome.LEFT : a.what != What.ANSWERED ? RequestStatistics.Outcome.LOST
                : a.status == 200 ? took <= c.onTimeUs() + c.stretch() * w.workUs ? RequestStatistics.Outcome.IN_TIME : RequestStatistics.Outcome.LATE
                : a.status == 503 || a.status == 429 ? RequestStatistics.Outcome.REJECTED : RequestStatistics.Outcome.FAILED;
        if (end == RequestStatistics.Outcome.IN_TIME || end == RequestStatistics.Outcome.LATE) {
            served.incrementAndGet();
        }
        statistics.add(w.dueUs, w.jobClass, w.tenant, a.dispatcher, end, c.worth() * Math.max(1, w.workUs) / Math.max(1, c.workUs()), took);
    }

    /** One sending, and once more on a new connection where a kept one ended with no byte of an answer. */
    private Answer once(Wanted w, Scenario.JobClass c, String key, int attempt) {
        Answer a = null;
        for (int again = 0; again < 2; again++) {
            Kept k = take(again > 0);
            if (k == null) {
                history.add(new Entry(history.now(), What.REFUSED, "client", null, null, null, w.jobClass, w.tenant, null, 0, null));
                return new Answer(What.REFUSED, 0, null, null);
            }
            boolean keptOne = k.exchange.startLine != null;
            a = send(k, w, c, key, "r" + w.number + "-" + attempt + (again > 0 ? "-x" : ""));
            if (a.what != What.UNHEARD || !keptOne) {
                return a;
            }
        }
        return a;
    }

    private Kept take(boolean fresh) {
        while (!fresh) {
            Kept k;
            synchronized (idle) {
                k = idle.pollLast();
            }
            if (k == null) {
                break;
            }
            try {
                if (!k.exchange.closedWithin(1)) {
                    return k;
                }
                k.exchange.close();
            } catch (IOException e) {
                history.add(new Entry(history.now(), What.EXTRA, "client", k.member.name, null, null, null, null, null, 0, null));
            }
        }
        for (int i = 0; i < scenario.dispatchers().count(); i++) {
            Member m = front.next(history.now());
            if (m == null) {
                return null;
            }
            try {
                return new Kept(HttpConnection.open(Front.address(m), CONNECT_MS), m);
            } catch (IOException e) {
                // refused: the front tries the next one
            }
        }
        return null;
    }

    private Answer send(Kept k, Wanted w, Scenario.JobClass c, String key, String txn) {
        HttpConnection e = k.exchange;
        long waitsMs = w.impatience > 0 ? Math.max(1, (long) (w.impatience * c.deadlineUs() / 1000)) : c.deadlineUs() / 1000;
        String body = txn.length() > BODY_MOST ? txn.substring(0, BODY_MOST) : txn;
        boolean fresh = e.startLine == null;
        What what;
        int status = 0;
        String text = null;
        try {
            String head = "POST /" + w.jobClass + "?sid=" + Integer.toHexString(w.sid) + " HTTP/1.1\r\nHost: x\r\nX-Txn: " + txn + "\r\nX-Org: " + w.tenant
                    + "\r\nX-Remaining-Ms: " + c.deadlineUs() / 1000 + "\r\nX-Estimate: " + w.workUs + "\r\nX-Labels: slots=" + c.slots() + ",memory=1\r\n"
                    + (key == null ? "" : "Idempotency-Key: " + key + "\r\n") + "Content-Length: " + body.length() + "\r\n\r\n" + body;
            e.headers = Map.of();
            // written down before it is sent: nothing that follows may seem to come first
            String conn = granitefold.standin.world.Worker.addressText((java.net.InetSocketAddress) e.socket.getLocalSocketAddress());
            history.add(new Entry(history.now(), What.ASKED, "client", k.member.name, txn, key, w.jobClass, w.tenant, conn, c.deadlineUs() / 1000, null));
            e.write(head);
            e.socket.setSoTimeout((int) (w.impatience > 0 ? waitsMs : waitsMs + LISTENS_MS));
            if (!e.read()) {
                what = What.UNHEARD;
            } else {
                what = What.ANSWERED;
                status = e.status();
                text = status == 200 ? expected(key, txn, body, e.body) ? "made" : "other" : e.headers.get("retry-after");
            }
        } catch (SocketTimeoutException silent) {
            what = w.impatience > 0 ? What.LEFT : What.SILENT;
        } catch (IOException broken) {
            what = e.messageStarted ? What.CUT : What.UNHEARD;
        }
        text = what == What.UNHEARD && fresh ? "new" : text;
        history.add(new Entry(history.now(), what, "client", k.member.name, txn, key, w.jobClass, w.tenant, null, status, text));
        // some connections end for reasons of their own, so that the front can spread them anew
        boolean keep = what == What.ANSWERED && !"close".equals(e.headers.get("connection")) && ThreadLocalRandom.current().nextDouble() >= scenario.load().churn();
        if (keep) {
            synchronized (idle) {
                idle.add(k);
            }
        } else {
            try {
                e.close();
            } catch (IOException ignored) {
                // closed is closed
            }
        }
        return new Answer(what, status, text, k.member.name);
    }

    /** A cocinero's result is the body in capitals; of a keyed job it may be that of an earlier sending of the same key. */
    private static boolean expected(String key, String txn, String body, byte[] result) {
        String text = new String(result, StandardCharsets.ISO_8859_1);
        return text.equals(body.toUpperCase(Locale.ROOT))
                || key != null && text.startsWith(txn.substring(0, txn.indexOf('-') + 1).toUpperCase(Locale.ROOT));
    }
}
