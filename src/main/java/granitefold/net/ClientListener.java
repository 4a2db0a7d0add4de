package granitefold.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.IO;

/**
 * The listener that clients connect to. It accepts on a thread of its own: the JDK calls accept again and again while
 * that fails with ECONNABORTED, and the loop must not stand still meanwhile. All else runs on the selector's thread.
 */
final class ClientListener implements ManagedSelector.Selectable {
    /** Takes a client that was accepted, and may have waited for that since {@code waitsSinceNs}. */
    interface AcceptHandler {
        void onAccepted(SocketChannel channel, long waitsSinceNs) throws IOException;
    }

    /** How a round of accepts came to its end. */
    private enum End { EMPTY, FULL, FAILED }

    /** Accepts in a row that bring nobody though somebody waits: then the listener rests. */
    private static final int MISSES_MOST = 16;

    private final SelectorThread sockets;
    private final ServerSocketChannel listener;
    private final AcceptHandler taking;
    /** Tells whether the queue is empty; of the acceptor's thread. */
    private final Selector queue;
    private final ExecutorService acceptor = Executors.newSingleThreadExecutor(ClientListener::thread);
    private SelectionKey key;
    /** Whether the queue may hold somebody, and since when that one may have waited. */
    private boolean mayHoldClients = true;
    private long queuedSinceNs;

    /** From a thread that may wait. */
    ClientListener(SelectorThread sockets, ServerSocketChannel listener, AcceptHandler taking) throws IOException {
        this.sockets = sockets;
        this.listener = listener;
        this.taking = taking;
        queue = SocketOpener.openWithRetry(Selector::open);
        listener.register(queue, SelectionKey.OP_ACCEPT);
    }

    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    private static Thread thread(Runnable task) {
        Thread thread = new Thread(task, "acceptor");
        thread.setDaemon(true);
        return thread;
    }

    /** Watches the listener, in whose queue the first may have waited since {@code openedNs}. */
    void begin(Selector selector, long openedNs) {
        queuedSinceNs = openedNs;
        try {
            key = listener.register(selector, SelectionKey.OP_ACCEPT, this);
        } catch (ClosedChannelException e) {
            // the program ends already
        }
    }

    /** Whether somebody may wait there that the next select shows. */
    boolean mayHoldClients() {
        return mayHoldClients && watched();
    }

    /** A select has returned: a listener that it watched and does not show as ready has nobody in its queue. */
    void selected(Selector selector) {
        if (watched() && !selector.selectedKeys().contains(key)) {
            mayHoldClients = false;
        }
    }

    private boolean watched() {
        return key != null && key.isValid() && key.interestOps() == SelectionKey.OP_ACCEPT;
    }

    @Override
    public Runnable onSelected() {
        expectClients();
        key.interestOps(0);
        acceptor.execute(() -> {
            Round round = acceptUpTo(SelectorThread.ACCEPTED_A_ROUND);
            sockets.submit(() -> goOn(round));
        });
        return null;
    }

    /** Who is accepted next has come, at the earliest, since the queue was last seen empty. */
    private void expectClients() {
        if (!mayHoldClients) {
            mayHoldClients = true;
            queuedSinceNs = sockets.unseenSinceNs();
        }
    }

    @Override
    public void updateKey() { }

    @Override
    public void replaceKey(SelectionKey newKey) { }

    /** @param endedNs when the last accept of the round began */
    private record Round(End end, long endedNs) { }

    /** Accepts and hands over one after the other; on the acceptor's thread. */
    private Round acceptUpTo(int most) {
        int misses = 0;
        for (int accepted = 0; accepted < most && misses < MISSES_MOST; ) {
            long beganNs = System.nanoTime();
            try {
                SocketChannel channel = listener.accept();
                if (channel != null) {
                    sockets.submit(() -> take(channel));
                    accepted++;
                    misses = 0;
                } else if (isQueueEmpty()) {
                    return new Round(End.EMPTY, beganNs);
                } else {
                    misses++;
                }
            } catch (IOException e) {
                return new Round(End.FAILED, beganNs);
            }
        }
        return new Round(misses == MISSES_MOST ? End.FAILED : End.FULL, System.nanoTime());
    }

    /** An accept that a signal interrupts (EINTR) brings nobody, as that of an empty queue does. */
    private boolean isQueueEmpty() throws IOException {
        queue.selectedKeys().clear();
        return queue.selectNow() == 0;
    }

    /** One that cannot be set up is closed, and the others go on. */
    private void take(SocketChannel channel) {
        try {
            taking.onAccepted(channel, queuedSinceNs);
        } catch (IOException e) {
            IO.close(channel);
        }
    }

    /** Watches the listener again. While accept fails, those who wait go on waiting. */
    private void goOn(Round round) {
        if (round.end == End.EMPTY) {
            queuedSinceNs = round.endedNs;
        }
        if (key.isValid() && round.end == End.FAILED) {
            // the listener is out of descriptors: the queue keeps whoever waits
            sockets.backOff(key);
        } else if (key.isValid()) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    /**
     * Takes what has connected by now, then closes the listener: the kernel resets what it finds in the queue of one that
     * closes. A channel that a selector knows closes only with its next select, when more may have come, so it is
     * taken from the selector first. {@code closed} hears that it is closed and what it held has been read; or that a
     * call of accept failed, and the listener is still open and to be emptied once more.
     */
    void close(Consumer<Boolean> closed) {
        sockets.submit(() -> {
            if (key != null) {
                key.cancel();
            }
            closeUnregistered(closed);
        });
    }

    private void closeUnregistered(Consumer<Boolean> closed) {
        if (key != null && listener.keyFor(key.selector()) != null) {
            sockets.submit(() -> closeUnregistered(closed));
            return;
        }
        expectClients();
        acceptor.execute(() -> {
            boolean emptied = acceptUpTo(Integer.MAX_VALUE).end == End.EMPTY && closeListener();
            // ENFILE, say: whoever is left in the queue would be reset with it
            sockets.submit(() -> {
                if (emptied) {
                    sockets.afterLook(() -> closed.accept(true));
                } else {
                    closed.accept(!listener.isOpen());
                }
            });
        });
    }

    private boolean closeListener() {
        try {
            // a channel that a selector knows closes with that one's next select
            listener.close();
            queue.close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
