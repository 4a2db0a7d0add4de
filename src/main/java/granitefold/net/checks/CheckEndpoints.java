package granitefold.net.checks;

import granitefold.availability.AvailabilityReport;
import granitefold.availability.AvailabilityStatus;
import granitefold.availability.RequestedMode;
import granitefold.core.Phase;
import granitefold.core.StatusReport;
import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.net.EventLoop;
import granitefold.net.SelectorThread;
import granitefold.net.SocketOpener;
import granitefold.net.StatusReporter;
import granitefold.operator.OperatorSettings;
import granitefold.wire.Address;
import granitefold.wire.AgentLine;
import granitefold.wire.InvalidInputException;
import granitefold.wire.StatusReportJson;
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

/** The check listeners of one dispatcher (agent-check, HTTP, control socket), on a thread of their own. */
public final class CheckEndpoints implements SelectorThread.TimerHandler {
    private static final int BACKLOG = 256;
    /** Age of the published state from which the event loop, which publishes several times a second, counts as stalled. */
    private static final long STALLED_AFTER_US = 2_000_000;
    private static final long SWEEP_MS = 10, IDLE_MS = 1000;
    private static final OperatorSettings.ListenerLimits CONTROL_LIMITS = new OperatorSettings.ListenerLimits(8, 1000, 5_000_000);

    private final String name;
    private final EventLoop loop;
    private final StatusReporter statusReporter;
    private final SelectorThread selector = new SelectorThread("checks", this);
    private volatile OperatorSettings operator;
    private volatile CheckListener agent;
    private volatile CheckListener http;
    private volatile CheckListener control;
    private ControlSocket socket;
    /** Time of the next check of time limits and paused listeners ({@link System#nanoTime}). */
    private long sweepAt = System.nanoTime();
    /** Until this time, answers to agent checks include {@code ready}. */
    private long readyUntil;
    /** Whether the last answer to an agent check was drain or maint. */
    private boolean wasTakenOut;

    /** Creates the endpoints of the dispatcher {@code name}. */
    public CheckEndpoints(String name, EventLoop loop, OperatorSettings operator) {
        this.name = name;
        this.loop = loop;
        this.operator = operator;
        statusReporter = loop.statusReporter();
    }

    /** Opens the configured endpoints; throws {@link InvalidInputException} if an address or socket cannot be opened. */
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
        selector.start();
        announceReady();
        agent = agentListener == null ? null : agent(agentListener, operator.agent());
        http = httpListener == null ? null : http(httpListener, operator.http());
        if (socket != null) {
            control = new CheckListener("control", socket.listener, CONTROL_LIMITS, selector, this::sweepSoon,
                    (e, f) -> new CommandConnection(e, f, this::command));
            control.listen();
            EventLog.log(LogEvent.CHECKS_LISTENING, "control", operator.control().socket());
        }
    }

    /** Removes the control socket; called by the shutdown hook. */
    public void close() {
        if (socket != null) {
            socket.close();
        }
    }

    private static ServerSocketChannel bind(String key, InetSocketAddress address) {
        try {
            return SocketOpener.openTcpListener(address, BACKLOG, false);
        } catch (IOException e) {
            throw new InvalidInputException(key + ": cannot listen on " + Address.text(address) + ": " + e.getMessage());
        }
    }

    private CheckListener checkListener(String kind, ServerSocketChannel listener, OperatorSettings.ListenerLimits limits,
            BiFunction<EndPoint, CheckListener, CheckConnection> factory) {
        CheckListener checkListener = new CheckListener(kind, listener, limits, selector, this::sweepSoon, factory);
        checkListener.listen();
        try {
            EventLog.log(LogEvent.CHECKS_LISTENING, kind, Address.text((InetSocketAddress) listener.getLocalAddress()));
        } catch (IOException e) {
            EventLog.log(LogEvent.CHECKS_FAILED, kind, "", e);
        }
        return checkListener;
    }

    private CheckListener agent(ServerSocketChannel listener, OperatorSettings.Agent settings) {
        return checkListener("agent", listener, settings.limits(), (e, f) -> new AgentConnection(e, f, agentLine()));
    }

    private CheckListener http(ServerSocketChannel listener, OperatorSettings.Http settings) {
        return checkListener("http", listener, settings.limits(), (e, f) -> new HttpCheckConnection(e, f, this::answer));
    }

    /**
     * Applies changed settings. A new address is bound before the old listener is closed; if that fails, the old listener
     * stays. May be called from any thread except that of the checks.
     */
    public synchronized void reload(OperatorSettings next) {
        OperatorSettings previous = operator;
        operator = next;
        agent = reconfigure("agent", agent, previous.agent(), next.agent(), next.agent() == null ? null : next.agent().listen(),
                previous.agent() == null ? null : previous.agent().listen(), l -> agent(l, next.agent()));
        http = reconfigure("http", http, previous.http(), next.http(), next.http() == null ? null : next.http().listen(),
                previous.http() == null ? null : previous.http().listen(), l -> http(l, next.http()));
    }

    private CheckListener reconfigure(String kind, CheckListener current, Object oldSettings, Object newSettings,
            InetSocketAddress address, InetSocketAddress previous,
            java.util.function.Function<ServerSocketChannel, CheckListener> opener) {
        if (java.util.Objects.equals(oldSettings, newSettings)) {
            return current;
        }
        if (newSettings == null) {
            selector.submit(current::close);
            return null;
        }
        if (current != null && address.equals(previous)) {
            // Only the bounds have changed; the address must be free before it is bound again.
            selector.submit(current::close);
            return reopen(kind, address, opener);
        }
        try {
            CheckListener replacement = opener.apply(bind("checks." + kind + ".listen", address));
            if (current != null) {
                selector.submit(current::close);
            }
            return replacement;
        } catch (InvalidInputException e) {
            EventLog.log(LogEvent.CHECKS_FAILED, kind, Address.text(address), e.getMessage());
            return current;
        }
    }

    private CheckListener reopen(String kind, InetSocketAddress address,
            java.util.function.Function<ServerSocketChannel, CheckListener> opener) {
        // The selector thread closes the old listener in its next cycle.
        java.util.concurrent.CountDownLatch cycleDone = new java.util.concurrent.CountDownLatch(1);
        selector.submit(() -> selector.submit(cycleDone::countDown));
        try {
            cycleDone.await(1, java.util.concurrent.TimeUnit.SECONDS);
            return opener.apply(bind("checks." + kind + ".listen", address));
        } catch (InvalidInputException e) {
            EventLog.log(LogEvent.CHECKS_FAILED, kind, Address.text(address), e.getMessage());
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
    public void onTimer(long inputReadNs) {
        if (millisUntilTimer() <= 0) {
            boolean busy = false;
            for (CheckListener listener : new CheckListener[] {agent, http, control}) {
                busy |= listener != null && listener.sweep();
            }
            sweepAt = System.nanoTime() + (busy ? SWEEP_MS : IDLE_MS) * 1_000_000;
        }
    }

    /** Schedules a sweep soon, because a connection was opened or a listener was paused. */
    private void sweepSoon() {
        sweepAt = Math.min(sweepAt, System.nanoTime() + SWEEP_MS * 1_000_000);
    }

    // ---------------------------------------------------------------- answers to checks
    private StatusReporter.PublishedReport published() {
        return statusReporter.published();
    }

    private static boolean stalled(StatusReporter.PublishedReport latest) {
        return latest != null && latest.ageUs() > STALLED_AFTER_US;
    }

    /** Begins a period in which answers to agent checks include {@code ready}. */
    private void announceReady() {
        readyUntil = System.nanoTime() + (operator.agent() == null ? 0 : operator.agent().announceReadyUs() * 1000);
    }

    private byte[] agentLine() {
        StatusReporter.PublishedReport latest = published();
        if (latest == null) {
            return AgentLine.starting();
        }
        if (stalled(latest)) {
            return AgentLine.silent();
        }
        AvailabilityReport verdict = latest.report().availability();
        boolean takenOut = verdict.status() == AvailabilityStatus.DRAINING || verdict.status() == AvailabilityStatus.MAINT;
        if (wasTakenOut && !takenOut) {
            // Every balancer must learn that the drain was revoked, also those that poll rarely.
            announceReady();
        }
        wasTakenOut = takenOut;
        return AgentLine.encode(verdict, System.nanoTime() - readyUntil < 0);
    }

    private HttpCheckConnection.Answer answer(String target) {
        int queryAt = target.indexOf('?');
        String path = queryAt < 0 ? target : target.substring(0, queryAt);
        boolean verbose = queryAt >= 0 && java.util.Arrays.asList(target.substring(queryAt + 1).split("&")).contains("verbose");
        StatusReporter.PublishedReport latest = published();
        return switch (path) {
            case "/livez" -> text(stalled(latest) ? 503 : 200, stalled(latest) ? "the loop is silent\n" : "ok\n", HttpFields.EMPTY);
            case "/readyz" -> readiness(latest, verbose);
            case "/availability" -> new HttpCheckConnection.Answer(200, HttpFields.build()
                    .put(HttpHeader.CONTENT_TYPE, "application/json").put(HttpHeader.CACHE_CONTROL, "no-store"), json(latest));
            default -> text(404, "known are /livez, /readyz and /availability\n", HttpFields.EMPTY);
        };
    }

    private static HttpCheckConnection.Answer text(int status, String text, HttpFields extraFields) {
        HttpCheckConnection.Answer plain = HttpCheckConnection.Answer.text(status, text);
        return new HttpCheckConnection.Answer(status, HttpFields.build(plain.fields()).add(extraFields), plain.body());
    }

    /**
     * Answers 200 if the dispatcher accepts new traffic; 404 (or the configured status) while an operator or the shutdown of
     * the process drains it, or in maintenance, for HAProxy's {@code http-check disable-on-404}; else 503. Other balancers
     * ignore the Envoy headers.
     */
    private HttpCheckConnection.Answer readiness(StatusReporter.PublishedReport latest, boolean verbose) {
        StatusReport report = latest == null ? null : latest.report();
        AvailabilityStatus availability = report == null ? AvailabilityStatus.STARTING : report.availability().status();
        boolean takenOut = availability == AvailabilityStatus.DRAINING || availability == AvailabilityStatus.MAINT;
        int status = stalled(latest) ? 503 : availability.acceptsTraffic() ? 200 : takenOut ? operator.http().drainStatus() : 503;
        HttpFields.Mutable fields = HttpFields.build();
        if (takenOut) {
            fields.add("x-envoy-immediate-health-check-fail", "true");
        } else if (availability.acceptsTraffic() && report.availability().impaired()) {
            fields.add("x-envoy-degraded", "true");
        }
        String text = availability.name().toLowerCase(Locale.ROOT) + "\n";
        if (verbose && report != null) {
            text = line("loop", !stalled(latest), "silent for " + latest.ageUs() / 1000 + " ms")
                    + line("phase", report.phase() == Phase.SERVING, report.phase().name())
                    + line("operator", report.requestedMode() == RequestedMode.READY, report.requestedMode().name())
                    + line("discovery", report.confirmed(), "the list is a saved one")
                    + line("peers", report.readyWorkers() > 0, "none is ready")
                    + line("load", availability != AvailabilityStatus.OVERLOADED, report.availability().reason())
                    + "readyz check " + (status == 200 ? "passed" : "failed") + ": " + text;
        }
        return text(status, text, fields);
    }

    private static String line(String check, boolean well, String why) {
        return (well ? "[+]" + check + " ok" : "[-]" + check + " failed: " + why) + "\n";
    }

    private byte[] json(StatusReporter.PublishedReport latest) {
        return StatusReportJson.encode(name, latest == null ? null : latest.report(), latest == null ? 0 : latest.ageUs(),
                stalled(latest));
    }

    // ---------------------------------------------------------------- control
    private void command(String command, Consumer<byte[]> reply) {
        RequestedMode requested = switch (command) {
            case "drain" -> RequestedMode.DRAIN;
            case "maint" -> RequestedMode.MAINT;
            case "ready" -> RequestedMode.READY;
            default -> null;
        };
        StatusReporter.PublishedReport latest = published();
        if (command.equals("status")) {
            reply.accept(json(latest));
        } else if (requested == null) {
            reply.accept(error("known are status, drain, ready and maint"));
        } else if (latest != null && latest.report().phase().compareTo(Phase.DRAINING) >= 0) {
            reply.accept(error("the process is to end"));
        } else {
            EventLog.log(LogEvent.CONTROL, command);
            // Answered after the event loop has applied the command, so that the answer shows its effect.
            loop.setOperatorOverride(requested, () -> selector.submit(() -> reply.accept(json(statusReporter.published()))));
        }
    }

    private static byte[] error(String text) {
        return ("{\"error\":\"" + text + "\"}").getBytes(StandardCharsets.UTF_8);
    }
}
