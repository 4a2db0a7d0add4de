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

/**
 * One listener and its connections, with limits on their number, rate and lifetime. All methods but the constructor run
 * on the selector thread.
 */
final class CheckListener implements SelectorThread.AcceptHandler {
    /** Burst size of accepted connections, as seconds at the permitted rate. */
    private static final double BURST_S = 0.1;

    final String name;
    final ServerSocketChannel listener;
    private final ListenerLimits limits;
    private final SelectorThread selector;
    /** Requests a call of {@link #sweep} soon. */
    private final Runnable sweepSoon;
    private final BiFunction<EndPoint, CheckListener, CheckConnection> factory;
    /** Open connections with their deadlines, the oldest first. */
    private final Map<CheckConnection, Long> open = new LinkedHashMap<>();
    private double tokens;
    private long tokensAt = System.nanoTime();
    private boolean paused;

    CheckListener(String name, ServerSocketChannel listener, ListenerLimits limits, SelectorThread selector,
            Runnable sweepSoon, BiFunction<EndPoint, CheckListener, CheckConnection> factory) {
        this.name = name;
        this.listener = listener;
        this.limits = limits;
        this.selector = selector;
        this.sweepSoon = sweepSoon;
        this.factory = factory;
        tokens = burst();
    }

    void listen() {
        selector.listen(listener, this);
    }

    private double burst() {
        return Math.max(1, limits.maxConnectionsPerS() * BURST_S);
    }

    @Override
    public boolean canAccept() {
        long now = System.nanoTime();
        tokens = Math.min(burst(), tokens + (now - tokensAt) / 1e9 * limits.maxConnectionsPerS());
        tokensAt = now;
        if (tokens < 1 && !paused) {
            paused = true;
            selector.setPaused(listener, true);
            sweepSoon.run();
        }
        return tokens >= 1;
    }

    @Override
    public void onAccepted(SocketChannel channel) throws IOException {
        tokens--;
        if (open.size() >= limits.maxConnections()) {
            // The oldest connection has had the most time to be answered.
            Iterator<CheckConnection> oldest = open.keySet().iterator();
            EventLog.log(LogEvent.CHECKS_CONNECTION_EVICTED, name);
            oldest.next().close();
        }
        channel.configureBlocking(false);
        if (channel.supportedOptions().contains(StandardSocketOptions.TCP_NODELAY)) {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        }
        selector.accept(channel, new SelectorThread.ConnectionHandler() {
            @Override
            public Connection opened(EndPoint endPoint) {
                CheckConnection connection = factory.apply(endPoint, CheckListener.this);
                open.put(connection, System.nanoTime() + limits.timeoutUs() * 1000);
                sweepSoon.run();
                return connection;
            }

            @Override
            public void failed(Throwable why) { }
        });
    }

    void closed(CheckConnection connection) {
        open.remove(connection);
    }

    /** Logs why input was rejected. */
    void refused(SocketAddress client, String why) {
        EventLog.log(LogEvent.CHECKS_REFUSED, name, client, why);
    }

    /** Closes connections past their deadlines and resumes accepting; returns whether another sweep is needed soon. */
    boolean sweep() {
        long now = System.nanoTime();
        for (CheckConnection connection : open.keySet().toArray(CheckConnection[]::new)) {
            if (open.get(connection) - now > 0) {
                break;
            }
            connection.close();
            // close() reports to closed() only if the connection had been opened
            open.remove(connection);
        }
        if (paused && canAccept()) {
            paused = false;
            selector.setPaused(listener, false);
        }
        return paused || !open.isEmpty();
    }

    /** Stops listening and closes all connections, because they are not swept any more. */
    void close() {
        for (CheckConnection connection : open.keySet().toArray(CheckConnection[]::new)) {
            connection.close();
        }
        try {
            listener.close();
        } catch (IOException e) {
            refused(null, e.toString());
        }
    }
}
