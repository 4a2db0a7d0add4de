package granitefold.standin.ground;

import granitefold.standin.HttpConnection;
import granitefold.standin.LoopbackServer;
import granitefold.standin.history.Entry;
import granitefold.standin.history.Entry.What;
import granitefold.standin.history.History;
import granitefold.standin.history.RuleTerms;
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
 * Open-loop load generator: requests arrive as a Poisson process at each tenant's rate, regardless of the progress of earlier
 * requests. Connections are pooled; if all are busy, a new one is opened to the dispatcher that the load balancer selects. Clients
 * retry rejected requests under a new id, and a share of them disconnects before the deadline.
 */
final class LoadGenerator {
    private static final int CONNECT_TIMEOUT_MS = 1000, MAX_BODY_CHARS = 64;
    /** How long a client waits beyond its deadline, so that late answers are recorded. */
    static final long LATE_ANSWER_WAIT_MS = 1500;
    private static final long BACKOFF_MS = 30, MAX_RETRY_AFTER_MS = 2000;

    /** A request, drawn before it is due. {@code impatience}: the share of its deadline after which the client disconnects; 0: never. */
    private record PlannedRequest(long number, long dueUs, String jobClass, String tenant, long workUs, int sid, double impatience,
            boolean honoursRetryAfter) { }

    private static final class PooledConnection {
        final HttpConnection http;
        final DispatcherUnderTest dispatcher;

        PooledConnection(HttpConnection http, DispatcherUnderTest dispatcher) {
            this.http = http;
            this.dispatcher = dispatcher;
        }
    }

    private final Scenario scenario;
    private final LoadBalancer loadBalancer;
    private final History history;
    final RequestStatistics statistics = new RequestStatistics();
    private final UniformRandomProvider random;
    private final Deque<PooledConnection> idle = new ArrayDeque<>();
    private final Map<String, Double> rates = new HashMap<>();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong inFlight = new AtomicLong();
    private final ExecutorService threads = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r, "client");
        t.setDaemon(true);
        return t;
    });
    private volatile boolean finished;
    private volatile long startedUs;
    private volatile double rate;

    LoadGenerator(Scenario scenario, LoadBalancer loadBalancer, History history, long seed) {
        this.scenario = scenario;
        this.loadBalancer = loadBalancer;
        this.history = history;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        rate = scenario.load().requestsPerS();
        scenario.tenants().forEach((t, x) -> rates.put(t, x.share() * x.usage()));
    }

    /** Starts the load, which ends after the length of the scenario. */
    void start() {
        startedUs = history.now();
        LoopbackServer.startDaemon(this::schedule, "clients");
    }

    /** Returns the microseconds since the start of the load. */
    long elapsedUs() {
        return history.now() - startedUs;
    }

    long startedUs() {
        return startedUs;
    }

    /** Sets the request rate to a multiple of the scenario's rate. */
    void rate(double factor) {
        rate = scenario.load().requestsPerS() * factor;
    }

    /** Sets a tenant's rate to a multiple of its share. */
    synchronized void tenantRate(String tenant, double factor) {
        rates.put(tenant, scenario.tenants().get(tenant).share() * factor);
    }

    long served() {
        return served.get();
    }

    boolean finished() {
        return finished && inFlight.get() == 0;
    }

    void stop() {
        finished = true;
    }

    private void schedule() {
        Map<String, ContinuousSampler> samplers = new HashMap<>();
        scenario.classes().forEach((name, jobClass) -> samplers.put(name, sampler(jobClass)));
        double at = 0;
        for (long i = 0; !finished; i++) {
            double all;
            synchronized (this) {
                all = rates.values().stream().mapToDouble(r -> r).sum();
            }
            at += -Math.log(1 - random.nextDouble()) / Math.max(1e-6, rate * all) * 1e6;
            if (at > scenario.lengthUs()) {
                break;
            }
            String jobClass = pick(scenario.classes().keySet().iterator(), name -> scenario.classes().get(name).share());
            String tenant;
            synchronized (this) {
                tenant = pick(scenario.tenants().keySet().iterator(), rates::get);
            }
            ContinuousSampler sampler = samplers.get(jobClass);
            long work = (long) (sampler == null ? scenario.classes().get(jobClass).workUs()
                    : Math.min(sampler.sample(), 8 * scenario.classes().get(jobClass).workUs()));
            PlannedRequest request = new PlannedRequest(i, (long) at, jobClass, tenant, work, (int) (64 * random.nextDouble() * random.nextDouble()),
                    random.nextDouble() < scenario.load().impatientShare() ? random.nextDouble() : 0,
                    random.nextDouble() < scenario.load().retryAfterShare());
            long untilNs = (long) ((startedUs + at - history.now()) * 1000);
            if (untilNs > 0) {
                LockSupport.parkNanos(untilNs);
                while (history.now() < startedUs + (long) at) {
                    Thread.onSpinWait();
                }
            }
            inFlight.incrementAndGet();
            threads.execute(() -> {
                try {
                    execute(request);
                } finally {
                    inFlight.decrementAndGet();
                }
            });
        }
        finished = true;
    }

    private ContinuousSampler sampler(Scenario.JobClass jobClass) {
        if (jobClass.spread() == 0) {
            return null;
        }
        double sigma = Math.sqrt(Math.log(1 + jobClass.spread() * jobClass.spread()));
        return LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(random), Math.log(Math.max(1, jobClass.workUs())) - sigma * sigma / 2, sigma);
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

    // ---------------------------------------------------------------- one request and its retries
    private record Answer(What what, int status, String retryAfter, String dispatcher) { }

    private void execute(PlannedRequest request) {
        Scenario.JobClass jobClass = scenario.classes().get(request.jobClass);
        long dueUs = startedUs + request.dueUs;
        String key = jobClass.effect() == RuleTerms.Effect.KEYED ? String.format(Locale.ROOT, "%016x%016x", request.number, request.workUs) : null;
        Answer answer = null;
        for (int n = 0; n <= scenario.load().retries(); n++) {
            answer = attempt(request, jobClass, key, n);
            if (answer.what != What.ANSWERED || answer.status != 503 && answer.status != 429 || n == scenario.load().retries()) {
                break;
            }
            double retryAfterMs = answer.retryAfter != null && request.honoursRetryAfter
                    ? Math.min(MAX_RETRY_AFTER_MS, 1000 * Double.parseDouble(answer.retryAfter)) : 0;
            LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos((long) (1000 * Math.max(retryAfterMs, BACKOFF_MS << n))));
        }
        long took = history.now() - dueUs;
        // a body that belongs to another request counts as an answer here; the history checker reports it
        RequestStatistics.Outcome outcome = answer.what == What.LEFT ? RequestStatistics.Outcome.LEFT
                : answer.what != What.ANSWERED ? RequestStatistics.Outcome.LOST
                : answer.status == 200 ? took <= jobClass.onTimeUs() + jobClass.stretch() * request.workUs ? RequestStatistics.Outcome.IN_TIME
                        : RequestStatistics.Outcome.LATE
                : answer.status == 503 || answer.status == 429 ? RequestStatistics.Outcome.REJECTED : RequestStatistics.Outcome.FAILED;
        if (outcome == RequestStatistics.Outcome.IN_TIME || outcome == RequestStatistics.Outcome.LATE) {
            served.incrementAndGet();
        }
        statistics.add(request.dueUs, request.jobClass, request.tenant, answer.dispatcher, outcome,
                jobClass.value() * Math.max(1, request.workUs) / Math.max(1, jobClass.workUs()), took);
    }

    /** Sends a request; resends it once on a new connection if a reused one ended before the first byte of an answer. */
    private Answer attempt(PlannedRequest request, Scenario.JobClass jobClass, String key, int attempt) {
        Answer answer = null;
        for (int again = 0; again < 2; again++) {
            PooledConnection connection = acquireConnection(again > 0);
            if (connection == null) {
                history.add(new Entry(history.now(), What.REFUSED, "client", null, null, null, request.jobClass, request.tenant, null, 0, null));
                return new Answer(What.REFUSED, 0, null, null);
            }
            boolean reused = connection.http.startLine != null;
            answer = send(connection, request, jobClass, key, "r" + request.number + "-" + attempt + (again > 0 ? "-x" : ""));
            if (answer.what != What.UNHEARD || !reused) {
                return answer;
            }
        }
        return answer;
    }

    private PooledConnection acquireConnection(boolean fresh) {
        while (!fresh) {
            PooledConnection connection;
            synchronized (idle) {
                connection = idle.pollLast();
            }
            if (connection == null) {
                break;
            }
            try {
                if (!connection.http.closedWithin(1)) {
                    return connection;
                }
                connection.http.close();
            } catch (IOException e) {
                history.add(new Entry(history.now(), What.EXTRA, "client", connection.dispatcher.name, null, null, null, null, null, 0, null));
            }
        }
        for (int i = 0; i < scenario.dispatchers().count(); i++) {
            DispatcherUnderTest dispatcher = loadBalancer.next(history.now());
            if (dispatcher == null) {
                return null;
            }
            try {
                return new PooledConnection(HttpConnection.open(LoadBalancer.address(dispatcher), CONNECT_TIMEOUT_MS), dispatcher);
            } catch (IOException e) {
                // refused: try the next dispatcher
            }
        }
        return null;
    }

    private Answer send(PooledConnection connection, PlannedRequest request, Scenario.JobClass jobClass, String key, String txn) {
        HttpConnection http = connection.http;
        long waitMs = request.impatience > 0 ? Math.max(1, (long) (request.impatience * jobClass.deadlineUs() / 1000)) : jobClass.deadlineUs() / 1000;
        String body = txn.length() > MAX_BODY_CHARS ? txn.substring(0, MAX_BODY_CHARS) : txn;
        boolean fresh = http.startLine == null;
        What what;
        int status = 0;
        String text = null;
        try {
            String head = "POST /" + request.jobClass + "?sid=" + Integer.toHexString(request.sid) + " HTTP/1.1\r\nHost: x\r\nX-Txn: " + txn
                    + "\r\nX-Org: " + request.tenant + "\r\nX-Remaining-Ms: " + jobClass.deadlineUs() / 1000 + "\r\nX-Estimate: " + request.workUs
                    + "\r\nX-Labels: slots=" + jobClass.slots() + ",memory=1\r\n"
                    + (key == null ? "" : "Idempotency-Key: " + key + "\r\n") + "Content-Length: " + body.length() + "\r\n\r\n" + body;
            http.headers = Map.of();
            // recorded before it is sent, so that no later event has an earlier time
            String conn = granitefold.standin.world.Worker.addressText((java.net.InetSocketAddress) http.socket.getLocalSocketAddress());
            history.add(new Entry(history.now(), What.ASKED, "client", connection.dispatcher.name, txn, key, request.jobClass, request.tenant, conn,
                    jobClass.deadlineUs() / 1000, null));
            http.write(head);
            http.socket.setSoTimeout((int) (request.impatience > 0 ? waitMs : waitMs + LATE_ANSWER_WAIT_MS));
            if (!http.read()) {
                what = What.UNHEARD;
            } else {
                what = What.ANSWERED;
                status = http.status();
                text = status == 200 ? expected(key, txn, body, http.body) ? "made" : "other" : http.headers.get("retry-after");
            }
        } catch (SocketTimeoutException silent) {
            what = request.impatience > 0 ? What.LEFT : What.SILENT;
        } catch (IOException broken) {
            what = http.messageStarted ? What.CUT : What.UNHEARD;
        }
        text = what == What.UNHEARD && fresh ? "new" : text;
        history.add(new Entry(history.now(), what, "client", connection.dispatcher.name, txn, key, request.jobClass, request.tenant, null,
                status, text));
        // a share of the connections is closed, so that the load balancer can redistribute them
        boolean keep = what == What.ANSWERED && !"close".equals(http.headers.get("connection"))
                && ThreadLocalRandom.current().nextDouble() >= scenario.load().churnShare();
        if (keep) {
            synchronized (idle) {
                idle.add(connection);
            }
        } else {
            try {
                http.close();
            } catch (IOException ignored) {
                // the connection is discarded anyway
            }
        }
        return new Answer(what, status, text, connection.dispatcher.name);
    }

    /** Returns whether a result is the body in upper case or, for a keyed job, that of an earlier send with the same key. */
    private static boolean expected(String key, String txn, String body, byte[] result) {
        String text = new String(result, StandardCharsets.ISO_8859_1);
        return text.equals(body.toUpperCase(Locale.ROOT))
                || key != null && text.startsWith(txn.substring(0, txn.indexOf('-') + 1).toUpperCase(Locale.ROOT));
    }
}
