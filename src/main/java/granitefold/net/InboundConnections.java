package granitefold.net;

import granitefold.core.CloseReason;
import granitefold.core.Effect;
import granitefold.core.Event;
import granitefold.figures.ClientInput;
import granitefold.wire.HttpMessages;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/** Owns the connections that clients have opened. */
final class InboundConnections {
    private final EventLoop loop;
    private final SelectorThread selectorThread;
    private final Map<Long, ClientConnection> clients = new HashMap<>();
    private long lastClientId;
    /** Whether a report that memory is low is due. */
    private boolean reportingMemory;

    InboundConnections(EventLoop loop, SelectorThread selectorThread) {
        this.loop = loop;
        this.selectorThread = selectorThread;
    }

    int size() {
        return clients.size();
    }

    /** Returns whether an answer is being written. */
    boolean writing() {
        return clients.values().stream().anyMatch(ClientConnection::writing);
    }

    /** Counts the connections that have read input which is no whole request yet. */
    ClientInput clientInput() {
        int partialRequests = 0;
        int unparsed = 0;
        for (ClientConnection client : clients.values()) {
            partialRequests += client.hasPartialRequest() ? 1 : 0;
            unparsed += client.hasUnparsedInput() ? 1 : 0;
        }
        return new ClientInput(partialRequests, unparsed);
    }

    /** Takes over an accepted connection. */
    void accepted(SocketChannel channel, long waitingSinceNs) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        long id = ++lastClientId;
        selectorThread.accept(channel, new SelectorThread.ConnectionHandler() {
            @Override
            public Connection opened(EndPoint endPoint) {
                ClientConnection client = new ClientConnection(endPoint, loop, selectorThread, id, waitingSinceNs);
                clients.put(id, client);
                loop.post(new Event.ClientConnected(id));
                return client;
            }

            @Override
            public void failed(Throwable cause) { }
        });
    }

    /** Reserves memory for a request, or releases it if {@code bytes} is negative; returns false if the limit is reached. */
    boolean reserve(int bytes) {
        boolean reserved = loop.heldMemory().reserve(HeldMemory.Use.REQUEST, bytes);
        if (bytes > 0) {
            checkMemory();
        }
        return reserved;
    }

    /** Reports if memory is low; not at once, since a connection is being read. */
    private void checkMemory() {
        if (!reportingMemory && loop.heldMemory().isLow()) {
            reportingMemory = true;
            selectorThread.submit(() -> {
                reportingMemory = false;
                if (loop.heldMemory().isLow()) {
                    loop.post(new Event.MemoryLow());
                }
            });
        }
    }

    /** Forgets a connection that has closed, and reports it to the reducer. */
    void closed(ClientConnection client, CloseReason reason) {
        if (clients.remove(client.id()) != null) {
            loop.post(new Event.ClientClosed(client.id(), reason));
        }
    }

    /** Reads what a client has sent by now; returns whether its connection is still open. */
    boolean readPending(long id) {
        ClientConnection client = clients.get(id);
        if (client != null) {
            client.readNow();
        }
        return clients.containsKey(id);
    }

    /** Performs an effect on client connections; has no effect on one that has closed. Returns false if it is another kind of effect. */
    boolean perform(Effect effect, StatusReporter statusReporter) {
        if (effect instanceof Effect.Answer e) {
            ClientConnection client = clients.get(e.client());
            if (client != null) {
                client.answer(HttpMessages.answer(e.answer(), statusReporter == null ? List.of() : statusReporter.headerFields(client),
                        e.close() || client.wantsClose()), e.close());
            }
        } else if (effect instanceof Effect.TimeOutClient e) {
            ClientConnection client = clients.get(e.client());
            if (client != null) {
                client.timeOut();
            }
        } else if (effect instanceof Effect.CloseClient e) {
            ClientConnection client = clients.get(e.client());
            if (client != null) {
                client.closeUnlessBusy(e.reason());
            }
        } else if (effect instanceof Effect.CheckMemory) {
            checkMemory();
        } else if (effect instanceof Effect.HalfCloseIdleClients || effect instanceof Effect.HalfCloseAllClients) {
            for (ClientConnection client : clients.values().toArray(ClientConnection[]::new)) {
                client.halfCloseUnlessBusy(effect instanceof Effect.HalfCloseAllClients);
            }
        } else {
            return false;
        }
        return true;
    }
}
