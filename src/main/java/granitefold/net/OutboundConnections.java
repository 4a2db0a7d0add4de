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

/** What the dispatcher opens by itself: connections to workers and to discovery, probes, and the siblings' datagrams. */
final class OutboundConnections {
    private final EventLoop loop;
    private final SelectorThread sockets;
    private final Config config;
    private final OperatorSettings operator;
    private final Map<Long, WorkerHttpConnection> workers = new HashMap<>();
    private final Map<Long, ProbeHttpConnection> probes = new HashMap<>(0);
    private SiblingConnection siblings;
    private WatchHttpConnection watch;

    OutboundConnections(EventLoop loop, SelectorThread sockets, Config config, OperatorSettings operator) {
        this.loop = loop;
        this.sockets = sockets;
        this.config = config;
        this.operator = operator;
    }

    /** Connections to workers. */
    int size() {
        return workers.size();
    }

    void perform(Effect effect) {
        if (effect instanceof Effect.ConnectWorker e) {
            WorkerHttpConnection link = new WorkerHttpConnection(loop, this, e.connection(), e.address());
            workers.put(e.connection(), link);
            link.connect(sockets);
        } else if (effect instanceof Effect.SendRequest e) {
            WorkerHttpConnection link = workers.get(e.connection());
            if (link != null) {
                // else it has just closed by itself, which the reducer hears next
                link.send(e.payload(), e.expiresAt());
            }
        } else if (effect instanceof Effect.PollSockets e) {
            sockets.afterLook(() -> loop.post(new Event.SocketsPolled(e.connection())));
        } else if (effect instanceof Effect.CloseWorker e) {
            WorkerHttpConnection link = workers.remove(e.connection());
            if (link != null) {
                link.close();
            }
        } else if (effect instanceof Effect.OpenWatch e) {
            watch = new WatchHttpConnection(loop, this, Address.of(e.address()), e.version());
            watch.connect(sockets);
        } else if (effect instanceof Effect.CloseWatch) {
            WatchHttpConnection last = watch;
            watch = null;
            if (last != null) {
                last.close();
            }
        } else if (effect instanceof Effect.SendToSibling e) {
            if (siblings != null) {
                siblings.tell(e.sibling(), e.message());
            }
        } else if (effect instanceof Effect.CloseSiblingSocket) {
            if (siblings != null) {
                siblings.close();
                siblings = null;
            }
        } else if (effect instanceof Effect.StartProbe e) {
            ProbeHttpConnection probe = new ProbeHttpConnection(this, e.worker(), e.address(), operator.probe().path());
            probes.put(e.worker(), probe);
            probe.connect(sockets);
        } else if (effect instanceof Effect.CancelProbe e) {
            ProbeHttpConnection probe = probes.remove(e.worker());
            if (probe != null) {
                probe.close();
            }
        }
    }

    /** A probe has come to its end by itself. */
    void probed(ProbeHttpConnection probe, boolean well, String reason) {
        if (probes.remove(probe.worker(), probe)) {
            probe.close();
            loop.post(new Event.ProbeEnded(probe.worker(), well, reason));
        }
    }

    /** A worker connection ended by itself. */
    void closed(WorkerHttpConnection link, String why) {
        if (workers.remove(link.id(), link)) {
            loop.post(new Event.WorkerClosed(link.id(), why));
        }
    }

    /** Whether this is the watch that counts: one that was given up may still have words in its buffers. */
    boolean current(WatchHttpConnection link) {
        return watch == link;
    }

    void closed(WatchHttpConnection link, String why) {
        if (watch == link) {
            watch = null;
            loop.post(new Event.WatchEnded(why));
        }
    }

    /**
     * Where siblings' datagrams come in, or null; not from the selector's thread. {@code shared}: another process of this dispatcher may
     * listen there too; each sibling's words reach one of them.
     */
    DatagramChannel bindSiblings(boolean shared) {
        if (config.siblingAddress() == null) {
            return null;
        }
        try {
            return openDatagrams(shared);
        } catch (IOException e) {
            // words between siblings may be lost at any time: the program serves without them
            EventLog.log(LogEvent.SIBLINGS_LOST, Address.text(config.siblingAddress()), e);
            return null;
        }
    }

    private DatagramChannel openDatagrams(boolean shared) throws IOException {
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

    /** Takes in what comes there from now on. */
    void openSiblings(DatagramChannel channel) {
        if (channel == null) {
            return;
        }
        sockets.accept(channel, new SelectorThread.ConnectionHandler() {
            @Override
            public Connection opened(EndPoint endPoint) {
                siblings = new SiblingConnection(endPoint, loop, config.siblings(), config.namedSettings().key());
                return siblings;
            }

            @Override
            public void failed(Throwable why) {
                EventLog.log(LogEvent.SIBLINGS_LOST, Address.text(config.siblingAddress()), why);
            }
        });
    }
}
