package granitefold.net.checks;

import granitefold.figures.MetricsSnapshot;
import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.net.SocketOpener;
import granitefold.net.EventLoop;
import granitefold.net.SelectorThread;
import granitefold.operator.OperatorSettings;
import granitefold.wire.Address;
import granitefold.wire.FiguresJson;
import granitefold.wire.InvalidInputException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/**
 * The second address, where staff and the platform ask how this process stands: a line in, an answer out. It has a thread
 * of its own and reads what the loop last published, so that neither a busy loop nor a crowd of clients delays it.
 */
public final class OpsEndpoint implements SelectorThread.TimerHandler {
    /** Callers who say nothing give way to new ones, so few places are enough. */
    private static final int CONNECTIONS = EventLoop.OPS_DESCRIPTORS - 8, PER_S = 1000, BACKLOG = 256;
    private static final long LIFE_US = 2_500_000;
    private static final long SWEEP_MS = 20, IDLE_MS = 250;

    private final InetSocketAddress address;
    private final EventLoop loop;
    private final List<String> classes;
    private final SelectorThread sockets = new SelectorThread("ops", this);
    private Front front;
    private long sweepAt = System.nanoTime();

    /** {@code classes}: their names, in the order of the settings. */
    public OpsEndpoint(InetSocketAddress address, EventLoop loop, List<String> classes) {
        this.address = address;
        this.loop = loop;
        this.classes = classes;
    }

    /** Opens the address; one that can't be had is told by {@link InvalidInputException}. Returns where it listens. */
    public InetSocketAddress start() throws Exception {
        ServerSocketChannel listener;
        InetSocketAddress bound;
        try {
            listener = SocketOpener.openTcpListener(address, BACKLOG, false);
            bound = (InetSocketAddress) listener.getLocalAddress();
        } catch (IOException e) {
            throw new InvalidInputException("ops: cannot listen on " + Address.text(address) + ": " + e.getMessage());
        }
        sockets.start();
        front = new Front("ops", listener, new OperatorSettings.ListenerLimits(CONNECTIONS, PER_S, LIFE_US), sockets, this::stir,
                (e, f) -> new LineConnection(e, f, this::answer));
        front.begin();
        EventLog.log(LogEvent.CHECKS_LISTENING, "ops", Address.text(bound));
        return bound;
    }

    private void answer(String call, Consumer<byte[]> answer) {
        MetricsSnapshot f = loop.figures();
        switch (call) {
            case "check" -> answer.accept(text(f == null ? "NAK starting" : f.ready() ? "ACK" : "NAK " + loop.phaseName()));
            case "vars" -> answer.accept(f == null ? text("NAK starting") : vars(f));
            default -> answer.accept(text("NAK known are check and vars"));
        }
    }

    private byte[] vars(MetricsSnapshot f) {
        return text(new String(FiguresJson.encode(f, classes), StandardCharsets.UTF_8) + "\n--");
    }

    private static byte[] text(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public long millisUntilTimer() {
        return Math.max(0, (sweepAt - System.nanoTime() + 999_999) / 1_000_000);
    }

    @Override
    public void onTimer() {
        if (millisUntilTimer() <= 0) {
            // on this thread, which may wait for a file; while callers come more often, so does this
            loop.answerHandoverRequests(sockets::submit);
            sweepAt = System.nanoTime() + (front != null && front.sweep() ? SWEEP_MS : IDLE_MS) * 1_000_000;
        }
    }

    private void stir() {
        sweepAt = Math.min(sweepAt, System.nanoTime() + SWEEP_MS * 1_000_000);
    }
}
