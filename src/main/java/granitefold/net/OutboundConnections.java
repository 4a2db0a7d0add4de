package granitefold.net;

import granitefold.core.Effect;
import granitefold.core.Event;
import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.operator.OperatorSettings;
import granitefold.wire.Address;
import granitefold.wire.Config;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.DatagramChannel;
import java.util.HashMap;
import java.util.Map;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/** Owns what the dispatcher opens: connections to workers and to discovery, probes, and the datagram socket for siblings. */
final class OutboundConnections {
    private final EventLoop loop;
    private final SelectorThread selectorThread;
    private final Config config;
    private final OperatorSettings operator;
    private final Map<Long, WorkerHttpConnection> workers = new HashMap<>();
    private final Map<Long, ProbeHttpConnection> probes = new HashMap<>(0);
    private SiblingConnection siblings;
    private WatchHttpConnection watch;

    OutboundConnections(EventLoop loop, SelectorThread selectorThread, Config config, OperatorSettings operator) {
        this.loop = loop;
        this.selectorThread = selectorThread;
        this.config = config;
        this.operator = operator;
    }

    /** Returns the number of connections to workers. */
    int workerConnectionCount() {
        return workers.size();
    }

    void perform(Effect effect) {
        if (effect instanceof Effect.ConnectWorker e) {
            WorkerHttpConnection connection = new WorkerHttpConnection(loop, this, e.connection(), e.address());
            workers.put(e.connection(), connection);
            connection.connect(selectorThread);
        } else if (effect instanceof Effect.SendRequest e) {
            WorkerHttpConnection connection = workers.get(e.connection());
            if (connection != null) {
                // otherwise it has just closed: the event for the reducer is already queued
                connection.send(e.payload(), e.expiresAt());
            }
        } else if (effect instanceof Effect.PollSockets e) {
            pollSockets(e);
        } else if (effect instanceof Effect.CloseWorker e) {
            WorkerHttpConnection connection = workers.remove(e.connection());
            if (connection != null) {
                connection.close();
            }
        } else if (effect instanceof Effect.OpenWatch e) {
            watch = new WatchHttpConnection(loop, this, Address.of(e.address()), e.version());
            watch.connect(selectorThread);
        } else if (effect instanceof Effect.CloseWatch) {
            WatchHttpConnection closing = watch;
            watch = null;
            if (closing != null) {
                closing.close();
            }
        } else if (effect instanceof Effect.SendToSibling e) {
            if (siblings != null) {
                siblings.send(e.sibling(), e.message());
            }
        } else if (effect instanceof Effect.CloseSiblingSocket) {
            if (siblings != null) {
                siblings.close();
                siblings = null;
            }
        } else if (effect instanceof Effect.StartProbe e) {
            ProbeHttpConnection probe = new ProbeHttpConnection(this, e.worker(), e.address(), operator.probe().path());
            probes.put(e.worker(), probe);
            probe.connect(selectorThread);
        } else if (effect instanceof Effect.CancelProbe e) {
            ProbeHttpConnection probe = probes.remove(e.worker());
            if (probe != null) {
                probe.close();
            }
        }
    }

    private void pollSockets(Effect.PollSockets poll) {
        Runnable report = () -> loop.post(new Event.SocketsPolled(poll.connection()));
        if (poll.includesClients()) {
            selectorThread.afterPendingInput(report);
        } else {
            selectorThread.afterPendingOutboundInput(report);
        }
    }

    /** Reports the result of a probe that was not cancelled. */
    void probeFinished(ProbeHttpConnection probe, boolean healthy, String reason) {
        if (probes.remove(probe.worker(), probe)) {
            probe.close();
            loop.post(new Event.ProbeEnded(probe.worker(), healthy, reason));
        }
    }

    /** Reports that a worker connection failed or was closed by the worker. */
    void closed(WorkerHttpConnection connection, String reason) {
        if (workers.remove(connection.id(), connection)) {
            loop.post(new Event.WorkerClosed(connection.id(), reason));
        }
    }

    /** Returns whether this is the current watch: a replaced one may still have unprocessed data in its buffers. */
    boolean isCurrent(WatchHttpConnection connection) {
        return watch == connection;
    }

    void closed(WatchHttpConnection connection, String reason) {
        if (watch == connection) {
            watch = null;
            loop.post(new Event.WatchEnded(reason));
        }
    }

    /**
     * Opens the datagram socket for siblings; returns null if none is configured or it cannot be opened. Must not be called on the selector's
     * thread. {@code shared}: another process of this dispatcher may be bound to the address too; a sibling's messages reach one of them.
     */
    DatagramChannel bindSiblingChannel(boolean shared) {
        if (config.siblingAddress() == null) {
            return null;
        }
        try {
            return openDatagramChannel(shared);
        } catch (IOException e) {
            // messages between siblings may be lost at any time: the dispatcher serves without them
            EventLog.log(LogEvent.SIBLINGS_LOST, Address.text(config.siblingAddress()), e);
            return null;
        }
    }

    private DatagramChannel openDatagramChannel(boolean shared) throws IOException {
        DatagramChannel channel = SocketOpener.openWithRetry(DatagramChannel::open);
        try {
            if (shared) {
                channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            channel.bind(config.siblingAddress());
            channel.configureBlocking(false);
            return channel;
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /** Starts receiving siblings' messages on the channel; has no effect if it is null. */
    void openSiblingChannel(DatagramChannel channel) {
        if (channel == null) {
            return;
        }
        selectorThread.accept(channel, new SelectorThread.ConnectionHandler() {
            @Override
            public Connection opened(EndPoint endPoint) {
                siblings = new SiblingConnection(endPoint, loop, config.siblings(), config.namedSettings().key());
                return siblings;
            }

            @Override
            public void failed(Throwable cause) {
                EventLog.log(LogEvent.SIBLINGS_LOST, Address.text(config.siblingAddress()), cause);
            }
        });
    }
}
