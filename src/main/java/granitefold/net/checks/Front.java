package granitefold.net.checks;

import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.net.SelectorThread;
import granitefold.operator.OperatorSettings.ListenerLimits;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiFunction;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/** One listener and its connections, within its bounds. All on the checks' thread but the constructor. */
final class Front implements SelectorThread.AcceptHandler {
    /** So much of a second's allowance may be used at once. */
    private static final double BURST_S = 0.1;

    final String name;
    final ServerSocketChannel listener;
    private final ListenerLimits bounds;
    private final SelectorThread sockets;
    /** Asks for {@link #sweep} soon. */
    private final Runnable stir;
    private final BiFunction<EndPoint, Front, CheckConnection> make;
    /** Open connections, the oldest first, with their ends of life. */
    private final Map<CheckConnection, Long> open = new LinkedHashMap<>();
    private double allowance;
    private long allowedAt = System.nanoTime();
    private boolean paused;

    Front(String name, ServerSocketChannel listener, ListenerLimits bounds, SelectorThread sockets,
            Runnable stir, BiFunction<EndPoint, Front, CheckConnection> make) {
        this.name = name;
        this.listener = listener;
        this.bounds = bounds;
        this.sockets = sockets;
        this.stir = stir;
        this.make = make;
        allowance = burst();
    }

    void begin() {
        sockets.listen(listener, this);
    }

    private double burst() {
        return Math.max(1, bounds.maxConnectionsPerS() * BURST_S);
    }

    @Override
    public boolean canAccept() {
        long now = System.nanoTime();
        allowance = Math.min(burst(), allowance + (now - allowedAt) / 1e9 * bounds.maxConnectionsPerS());
        allowedAt = now;
        if (allowance < 1 && !paused) {
            paused = true;
            sockets.setPaused(listener, true);
            stir.run();
        }
        return allowance >= 1;
    }

    @Override
    public void onAccepted(SocketChannel channel) throws IOException {
        allowance--;
        if (open.size() >= bounds.maxConnections()) {
            // whoever holds on longest has had the most of it
            Iterator<CheckConnection> oldest = open.keySet().iterator();
            EventLog.log(LogEvent.CHECKS_CONNECTION_EVICTED, name);
            oldest.next().close();
        }
        channel.configureBlocking(false);
        if (channel.supportedOptions().contains(StandardSocketOptions.TCP_NODELAY)) {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        }
        sockets.accept(channel, new SelectorThread.ConnectionHandler() {
            @Override
            public Connection opened(EndPoint endPoint) {
                CheckConnection c = make.apply(endPoint, Front.this);
                open.put(c, System.nanoTime() + bounds.timeoutUs() * 1000);
                stir.run();
                return c;
            }

            @Override
            public void failed(Throwable why) { }
        });
    }

    void closed(CheckConnection c) {
        open.remove(c);
    }

    /** Says once why something was refused. */
    void refused(SocketAddress who, String why) {
        EventLog.log(LogEvent.CHECKS_REFUSED, name, who, why);
    }

    /** Ends connections whose time is over, and goes on accepting; true if there is more to wait for. */
    boolean sweep() {
        long now = System.nanoTime();
        for (CheckConnection c : open.keySet().toArray(CheckConnection[]::new)) {
            if (open.get(c) - now > 0) {
                break;
            }
            c.close();
            // closing tells, but not if it never came to be open
            open.remove(c);
        }
        if (paused && canAccept()) {
            paused = false;
            sockets.setPaused(listener, false);
        }
        return paused || !open.isEmpty();
    }

    /** Stops listening and closes what is open: nothing sweeps it any more. */
    void end() {
        for (CheckConnection c : open.keySet().toArray(CheckConnection[]::new)) {
            c.close();
        }
        try {
            listener.close();
        } catch (IOException e) {
            refused(null, e.toString());
        }
    }
}
