package granitefold.net.checks;

import granitefold.figures.Figures;
import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.net.Listeners;
import granitefold.net.Loop;
import granitefold.net.Sockets;
import granitefold.operator.Operator;
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
 * The operations address, where staff and the platform query the state of this process: one line in, one answer out. It has
 * a thread of its own and reads the figures last published by the event loop, so that neither a busy loop nor many clients
 * delay it.
 */
public final class OpsEndpoint implements Sockets.Host {
    /** A small limit suffices, because new connections replace the oldest ones. */
    private static final int MAX_CONNECTIONS = Loop.OPS_DESCRIPTORS - 8, MAX_PER_S = 1000, BACKLOG = 256;
    private static final long CONNECTION_TIMEOUT_US = 2_500_000;
    private static final long SWEEP_MS = 20, IDLE_MS = 250;

    private final InetSocketAddress address;
    private final Loop loop;
    private final List<String> classes;
    private final Sockets sockets = new Sockets("ops", this);
    private CheckListener checkListener;
    private long sweepAt = System.nanoTime();

    /** Creates the endpoint; {@code classes} are the names of the job classes in the order of the settings. */
    public OpsEndpoint(InetSocketAddress address, Loop loop, List<String> classes) {
        this.address = address;
        this.loop = loop;
        this.classes = classes;
    }

    /** Starts listening and returns the bound address; throws {@link InvalidInputException} if it cannot be bound. */
    public InetSocketAddress start() throws Exception {
        ServerSocketChannel listener;
        InetSocketAddress bound;
        try {
            listener = Listeners.tcp(address, BACKLOG, false);
            bound = (InetSocketAddress) listener.getLocalAddress();
        } catch (IOException e) {
            throw new InvalidInputException("ops: cannot listen on " + Address.text(address) + ": " + e.getMessage());
        }
        sockets.start();
        checkListener = new CheckListener("ops", listener, new Operator.Bounds(MAX_CONNECTIONS, MAX_PER_S, CONNECTION_TIMEOUT_US),
                sockets, this::sweepSoon, (e, f) -> new CommandConnection(e, f, this::answer));
        checkListener.listen();
        EventLog.log(LogEvent.CHECKS_LISTENING, "ops", Address.text(bound));
        return bound;
    }

    private void answer(String command, Consumer<byte[]> reply) {
        Figures f = loop.figures();
        switch (command) {
            case "check" -> reply.accept(text(f == null ? "NAK starting" : f.serves() ? "ACK" : "NAK " + loop.standing()));
            case "vars" -> reply.accept(f == null ? text("NAK starting") : vars(f));
            default -> reply.accept(text("NAK known are check and vars"));
        }
    }

    private byte[] vars(Figures f) {
        return text(new String(FiguresJson.encode(f, classes), StandardCharsets.UTF_8) + "\n--");
    }

    private static byte[] text(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public long untilWake() {
        return Math.max(0, (sweepAt - System.nanoTime() + 999_999) / 1_000_000);
    }

    @Override
    public void wake() {
        if (untilWake() <= 0) {
            // This thread may block on a file. While there are connections, the call is repeated more often.
            loop.passOn(sockets::submit);
            sweepAt = System.nanoTime() + (checkListener != null && checkListener.sweep() ? SWEEP_MS : IDLE_MS) * 1_000_000;
        }
    }

    private void sweepSoon() {
        sweepAt = Math.min(sweepAt, System.nanoTime() + SWEEP_MS * 1_000_000);
    }
}
