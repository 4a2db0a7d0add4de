package granitefold.net.checks;

import granitefold.figures.MetricsSnapshot;
import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.net.EventLoop;
import granitefold.net.SelectorThread;
import granitefold.net.SocketOpener;
import granitefold.operator.OperatorSettings;
import granitefold.wire.Address;
import granitefold.wire.InvalidInputException;
import granitefold.wire.MetricsJson;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/**
 * The operations address, where staff and the platform query the state of this process: one line in, one answer out. It has
 * a thread of its own and reads the metrics last published by the event loop, so that neither a busy loop nor many clients
 * delay it.
 */
public final class OpsEndpoint implements SelectorThread.TimerHandler {
    /** A small limit suffices, because new connections replace the oldest ones. */
    private static final int MAX_CONNECTIONS = EventLoop.OPS_DESCRIPTORS - 8, MAX_PER_S = 1000, BACKLOG = 256;
    private static final long CONNECTION_TIMEOUT_US = 2_500_000;
    private static final long SWEEP_MS = 20, IDLE_MS = 250;

    private final InetSocketAddress address;
    private final EventLoop loop;
    private final List<String> classes;
    private final SelectorThread selector = new SelectorThread("ops", this);
    private CheckListener checkListener;
    private long sweepAt = System.nanoTime();

    /** Creates the endpoint; {@code classes} are the names of the job classes in the order of the settings. */
    public OpsEndpoint(InetSocketAddress address, EventLoop loop, List<String> classes) {
        this.address = address;
        this.loop = loop;
        this.classes = classes;
    }

    /** Starts listening and returns the bound address; throws {@link InvalidInputException} if it cannot be bound. */
    public InetSocketAddress start() throws Exception {
        ServerSocketChannel listener;
        InetSocketAddress bound;
        try {
            listener = SocketOpener.openTcpListener(address, BACKLOG, false);
            bound = (InetSocketAddress) listener.getLocalAddress();
        } catch (IOException e) {
            throw new InvalidInputException("ops: cannot listen on " + Address.text(address) + ": " + e.getMessage());
        }
        selector.start();
        checkListener = new CheckListener("ops", listener,
                new OperatorSettings.ListenerLimits(MAX_CONNECTIONS, MAX_PER_S, CONNECTION_TIMEOUT_US), selector, this::sweepSoon,
                (e, f) -> new CommandConnection(e, f, this::answer));
        checkListener.listen();
        EventLog.log(LogEvent.CHECKS_LISTENING, "ops", Address.text(bound));
        return bound;
    }

    private void answer(String command, Consumer<byte[]> reply) {
        MetricsSnapshot metrics = loop.figures();
        switch (command) {
            case "check" -> reply.accept(text(metrics == null ? "NAK starting" : metrics.ready() ? "ACK"
                    : "NAK " + loop.phaseName()));
            case "vars" -> reply.accept(metrics == null ? text("NAK starting") : vars(metrics));
            default -> reply.accept(text("NAK known are check and vars"));
        }
    }

    private byte[] vars(MetricsSnapshot metrics) {
        return text(new String(MetricsJson.encode(metrics, classes), StandardCharsets.UTF_8) + "\n--");
    }

    private static byte[] text(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public long millisUntilTimer() {
        return Math.max(0, (sweepAt - System.nanoTime() + 999_999) / 1_000_000);
    }

    @Override
    public void onTimer(long inputReadNs) {
        if (millisUntilTimer() <= 0) {
            // This thread may block on a file. While there are connections, the call is repeated more often.
            loop.answerHandoverRequests(selector::submit);
            sweepAt = System.nanoTime() + (checkListener != null && checkListener.sweep() ? SWEEP_MS : IDLE_MS) * 1_000_000;
        }
    }

    private void sweepSoon() {
        sweepAt = Math.min(sweepAt, System.nanoTime() + SWEEP_MS * 1_000_000);
    }
}
