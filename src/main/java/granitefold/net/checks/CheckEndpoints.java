package granitefold.net.checks;

import granitefold.availability.AvailabilityStatus;
import granitefold.availability.AvailabilityReport;
import granitefold.availability.RequestedMode;
import granitefold.core.Phase;
import granitefold.core.StatusReport;
import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.net.StatusReporter;
import granitefold.net.SocketOpener;
import granitefold.net.EventLoop;
import granitefold.net.SelectorThread;
import granitefold.operator.OperatorSettings;
import granitefold.wire.Address;
import granitefold.wire.AgentLine;
import granitefold.wire.InvalidInputException;
import granitefold.wire.ReportJson;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EndPoint;

/** The check fronts of one dispatcher, on a thread of their own. */
public final class CheckEndpoints implements SelectorThread.TimerHandler {
    private static final int BACKLOG = 256;
    /** The loop publishes several times a second; after this much silence nothing that it said counts. */
    private static final long SILENT_US = 2_000_000;
    private static final long SWEEP_MS = 10, IDLE_MS = 1000;
    private static final OperatorSettings.ListenerLimits CONTROL = new OperatorSettings.ListenerLimits(8, 1000, 5_000_000);

    private final String name;
    private final EventLoop loop;
    private final StatusReporter insight;
    private final SelectorThread sockets = new SelectorThread("checks", this);
    private volatile OperatorSettings operator;
    private volatile Front agent;
    private volatile Front http;
    private volatile Front control;
    private ControlSocket socket;
    /** When to look after time limits and paused listeners next ({@link System#nanoTime}). */
    private long sweepAt = System.nanoTime();
    /** Until then {@code ready} is said to agents; whether a drain or maint was said since the last time. */
    private long readyUntil;
    private boolean away;

    /** {@code name}: the dispatcher's. */
    public CheckEndpoints(String name, EventLoop loop, OperatorSettings operator) {
        this.name = name;
        this.loop = loop;
        this.operator = operator;
        insight = loop.statusReporter();
    }

    /** Opens what the operator has set; an address or a socket that can't be had is told by {@link InvalidInputException}. */
    public void start() throws Exception {
        ServerSocketChannel agentListener = null;
        ServerSocketChannel httpListener = null;
        if (operator.agent() != null) {
            agentListener = bind("checks.agent.listen", operator.agent().listen());
        }
        if (operator.http() != null) {
            httpListener = bind("checks.http.listen", operator.http().listen());
        }
        if (operator.control() != null) {
            try {
                socket = ControlSocket.open(operator.control().socket());
            } catch (IOException e) {
                throw new InvalidInputException("control.socket: " + operator.control().socket() + ": " + e.getMessage());
            }
        }
        sockets.start();
        readyAgain();
        agent = agentListener == null ? null : agent(agentListener, operator.agent());
        http = httpListener == null ? null : http(httpListener, operator.http());
        if (socket != null) {
            control = new Front("control", socket.listener, CONTROL, sockets, this::stir,
                    (e, f) -> new LineConnection(e, f, this::command));
            control.begin();
            EventLog.log(LogEvent.CHECKS_LISTENING, "control", operator.control().socket());
        }
    }

    /** Takes the control socket's name away; from the shutdown hook. */
    public void close() {
        if (socket != null) {
            socket.end();
        }
    }

    private static ServerSocketChannel bind(String key, InetSocketAddress address) {
        try {
            return SocketOpener.openTcpListener(address, BACKLOG, false);
        } catch (IOException e) {
            throw new InvalidInputException(key + ": cannot listen on " + Address.text(address) + ": " + e.getMessage());
        }
    }

    private Front front(String what, ServerSocketChannel listener, OperatorSettings.ListenerLimits bounds,
            BiFunction<EndPoint, Front, CheckConnection> make) {
        Front front = new Front(what, listener, bounds, sockets, this::stir, make);
        front.begin();
        try {
            EventLog.log(LogEvent.CHECKS_LISTENING, what, Address.text((InetSocketAddress) listener.getLocalAddress()));
        } catch (IOException e) {
            EventLog.log(LogEvent.CHECKS_FAILED, what, "", e);
        }
        return front;
    }

    private Front agent(ServerSocketChannel listener, OperatorSettings.Agent set) {
        return front("agent", listener, set.limits(), (e, f) -> new AgentConnection(e, f, agentLine()));
    }

    private Front http(ServerSocketChannel listener, OperatorSettings.Http set) {
        return front("http", listener, set.limits(), (e, f) -> new HttpCheckConnection(e, f, this::answer));
    }

    /**
     * Moves listeners that are elsewhere now. The new one is bound before the old one goes; one that can't be had
     * leaves the old one as it is. From any thread but the checks'.
     */
    public synchronized void reload(OperatorSettings next) {
        OperatorSettings last = operator;
        operator = next;
        agent = moved("agent", agent, last.agent(), next.agent(), next.agent() == null ? null : next.agent().listen(),
                last.agent() == null ? null : last.agent().listen(), l -> agent(l, next.agent()));
        http = moved("http", http, last.http(), next.http(), next.http() == null ? null : next.http().listen(),
                last.http() == null ? null : last.http().listen(), l -> http(l, next.http()));
    }

    private Front moved(String what, Front front, Object from, Object to, InetSocketAddress address, InetSocketAddress last,
            java.util.function.Function<ServerSocketChannel, Front> open) {
        if (java.util.Objects.equals(from, to)) {
            return front;
        }
        if (to == null) {
            sockets.submit(front::end);
            return null;
        }
        if (front != null && address.equals(last)) {
            // other bounds on the same address
            sockets.submit(front::end);
            return reopened(what, address, open);
        }
        try {
            Front moved = open.apply(bind("checks." + what + ".listen", address));
            if (front != null) {
                sockets.submit(front::end);
            }
            return moved;
        } catch (InvalidInputException e) {
            EventLog.log(LogEvent.CHECKS_FAILED, what, Address.text(address), e.getMessage());
            return front;
        }
    }

    private Front reopened(String what, InetSocketAddress address,
            java.util.function.Function<ServerSocketChannel, Front> open) {
        // the old one is closed by the selector's thread, at its next turn
        java.util.concurrent.CountDownLatch turn = new java.util.concurrent.CountDownLatch(1);
        sockets.submit(() -> sockets.submit(turn::countDown));
        try {
            turn.await(1, java.util.concurrent.TimeUnit.SECONDS);
            return open.apply(bind("checks." + what + ".listen", address));
        } catch (InvalidInputException e) {
            EventLog.log(LogEvent.CHECKS_FAILED, what, Address.text(address), e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return null;
    }

    // ---------------------------------------------------------------- time
    @Override
    public long millisUntilTimer() {
        return Math.max(0, (sweepAt - System.nanoTime() + 999_999) / 1_000_000);
    }

    @Override
    public void onTimer() {
        if (millisUntilTimer() <= 0) {
            boolean busy = false;
            for (Front f : new Front[] {agent, http, control}) {
                busy |= f != null && f.sweep();
            }
            sweepAt = System.nanoTime() + (busy ? SWEEP_MS : IDLE_MS) * 1_000_000;
        }
    }

    /** Something has come that takes looking after: a connection, or a listener that is paused. */
    private void stir() {
        sweepAt = Math.min(sweepAt, System.nanoTime() + SWEEP_MS * 1_000_000);
    }

    // ---------------------------------------------------------------- what is said
    private StatusReporter.PublishedReport published() {
        return insight.published();
    }

    private static boolean silent(StatusReporter.PublishedReport p) {
        return p != null && p.ageUs() > SILENT_US;
    }

    private void readyAgain() {
        readyUntil = System.nanoTime() + (operator.agent() == null ? 0 : operator.agent().announceReadyUs() * 1000);
    }

    private byte[] agentLine() {
        StatusReporter.PublishedReport p = published();
        if (p == null) {
            return AgentLine.starting();
        }
        if (silent(p)) {
            return AgentLine.silent();
        }
        AvailabilityReport v = p.report().availability();
        boolean leaves = v.status() == AvailabilityStatus.DRAINING || v.status() == AvailabilityStatus.MAINT;
        if (away && !leaves) {
            // each balancer that polls must hear that the drain was withdrawn, also those that ask seldom
            readyAgain();
        }
        away = leaves;
        return AgentLine.encode(v, System.nanoTime() - readyUntil < 0);
    }

    private HttpCheckConnection.Answer answer(String target) {
        int q = target.indexOf('?');
        String path = q < 0 ? target : target.substring(0, q);
        boolean verbose = q >= 0 && java.util.Arrays.asList(target.substring(q + 1).split("&")).contains("verbose");
        StatusReporter.PublishedReport p = published();
        return switch (path) {
            case "/livez" -> text(silent(p) ? 503 : 200, silent(p) ? "the loop is silent\n" : "ok\n", HttpFields.EMPTY);
            case "/readyz" -> readiness(p, verbose);
            case "/availability" -> new HttpCheckConnection.Answer(200, HttpFields.build()
                    .put(HttpHeader.CONTENT_TYPE, "application/json").put(HttpHeader.CACHE_CONTROL, "no-store"), json(p));
            default -> text(404, "known are /livez, /readyz and /availability\n", HttpFields.EMPTY);
        };
    }

    private static HttpCheckConnection.Answer text(int status, String text, HttpFields more) {
        HttpCheckConnection.Answer a = HttpCheckConnection.Answer.text(status, text);
        return new HttpCheckConnection.Answer(status, HttpFields.build(a.fields()).add(more), a.body());
    }

    /**
     * 200 where new traffic may come, 404 (or as set) where an operator or the process's end sends it elsewhere, as
     * HAProxy's {@code http-check disable-on-404} has it, else 503. The Envoy fields are harmless to all others.
     */
    private HttpCheckConnection.Answer readiness(StatusReporter.PublishedReport p, boolean verbose) {
        StatusReport r = p == null ? null : p.report();
        AvailabilityStatus s = r == null ? AvailabilityStatus.STARTING : r.availability().status();
        boolean leaves = s == AvailabilityStatus.DRAINING || s == AvailabilityStatus.MAINT;
        int status = silent(p) ? 503 : s.acceptsTraffic() ? 200 : leaves ? operator.http().drainStatus() : 503;
        HttpFields.Mutable fields = HttpFields.build();
        if (leaves) {
            fields.add("x-envoy-immediate-health-check-fail", "true");
        } else if (s.acceptsTraffic() && r.availability().impaired()) {
            fields.add("x-envoy-degraded", "true");
        }
        String text = s.name().toLowerCase(Locale.ROOT) + "\n";
        if (verbose && r != null) {
            text = line("loop", !silent(p), "silent for " + p.ageUs() / 1000 + " ms")
                    + line("phase", r.phase() == Phase.SERVING, r.phase().name())
                    + line("operator", r.requestedMode() == RequestedMode.READY, r.requestedMode().name())
                    + line("discovery", r.confirmed(), "the list is a saved one")
                    + line("peers", r.readyWorkers() > 0, "none is ready")
                    + line("load", s != AvailabilityStatus.OVERLOADED, r.availability().reason())
                    + "readyz check " + (status == 200 ? "passed" : "failed") + ": " + text;
        }
        return text(status, text, fields);
    }

    private static String line(String check, boolean well, String why) {
        return (well ? "[+]" + check + " ok" : "[-]" + check + " failed: " + why) + "\n";
    }

    private byte[] json(StatusReporter.PublishedReport p) {
        return ReportJson.encode(name, p == null ? null : p.report(), p == null ? 0 : p.ageUs(), silent(p));
    }

    // ---------------------------------------------------------------- control
    private void command(String command, Consumer<byte[]> answer) {
        RequestedMode wish = switch (command) {
            case "drain" -> RequestedMode.DRAIN;
            case "maint" -> RequestedMode.MAINT;
            case "ready" -> RequestedMode.READY;
            default -> null;
        };
        StatusReporter.PublishedReport p = published();
        if (command.equals("status")) {
            answer.accept(json(p));
        } else if (wish == null) {
            answer.accept(error("known are status, drain, ready and maint"));
        } else if (p != null && p.report().phase().compareTo(Phase.DRAINING) >= 0) {
            answer.accept(error("the process is to end"));
        } else {
            EventLog.log(LogEvent.CONTROL, command);
            // answered once the loop has taken it in, so that the answer shows what it did
            loop.setOperatorOverride(wish, () -> sockets.submit(() -> answer.accept(json(insight.published()))));
        }
    }

    private static byte[] error(String text) {
        return ("{\"error\":\"" + text + "\"}").getBytes(StandardCharsets.UTF_8);
    }
}
