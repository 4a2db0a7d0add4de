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
 * The listener that clients connect to. It accepts on a separate thread: the JDK repeats accept for as long as it fails with
 * ECONNABORTED, which must not block the loop. Everything else runs on the selector's thread.
 */
final class ClientListener implements ManagedSelector.Selectable {
    /** Handles accepted clients. */
    interface AcceptHandler {
        /** @param waitingSinceNs the earliest time ({@link System#nanoTime}) at which the client may have connected */
        void onAccepted(SocketChannel channel, long waitingSinceNs) throws IOException;
    }

    /** Why a round of accepts ended. */
    private enum End { EMPTY, LIMIT_REACHED, FAILED }

    /** After this many accepts in a row without a result, though connections are pending, the listener is paused. */
    private static final int MAX_EMPTY_ACCEPTS = 16;

    private final SelectorThread selectorThread;
    private final ServerSocketChannel listener;
    private final AcceptHandler acceptHandler;
    /** Shows whether the queue is empty; used by the acceptor's thread only. */
    private final Selector queueSelector;
    private final ExecutorService acceptor = Executors.newSingleThreadExecutor(ClientListener::newThread);
    private SelectionKey key;
    /** Whether the queue may hold clients, and since when the first of them may have been waiting. */
    private boolean mayHavePendingClients = true;
    private long queuedSinceNs;

    /** Must be called on a thread that may block. */
    ClientListener(SelectorThread selectorThread, ServerSocketChannel listener, AcceptHandler acceptHandler) throws IOException {
        this.selectorThread = selectorThread;
        this.listener = listener;
        this.acceptHandler = acceptHandler;
        queueSelector = SocketOpener.openWithRetry(Selector::open);
        listener.register(queueSelector, SelectionKey.OP_ACCEPT);
    }

    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "acceptor");
        thread.setDaemon(true);
        return thread;
    }

    /** Registers with the selector; the first client may have been waiting in the queue since {@code openedNs}. */
    void register(Selector selector, long openedNs) {
        queuedSinceNs = openedNs;
        try {
            key = listener.register(selector, SelectionKey.OP_ACCEPT, this);
        } catch (ClosedChannelException e) {
            // the process is shutting down
        }
    }

    /** Returns whether the next select may report clients that are already in the queue. */
    boolean mayHavePendingClients() {
        return mayHavePendingClients && isInterested();
    }

    /** Called after each select: if it covered the listener and did not report it as ready, the queue is empty. */
    void afterSelect(Selector selector) {
        if (isInterested() && !selector.selectedKeys().contains(key)) {
            mayHavePendingClients = false;
        }
    }

    private boolean isInterested() {
        return key != null && key.isValid() && key.interestOps() == SelectionKey.OP_ACCEPT;
    }

    @Override
    public Runnable onSelected() {
        recordArrival();
        key.interestOps(0);
        acceptRound();
        return null;
    }

    private void acceptRound() {
        acceptor.execute(() -> {
            Round round = acceptUpTo(SelectorThread.MAX_ACCEPTS_PER_ROUND);
            selectorThread.submit(() -> resume(round));
        });
    }

    /** Records the earliest arrival of the next client: the time at which the queue was last known to be empty. */
    private void recordArrival() {
        if (!mayHavePendingClients) {
            mayHavePendingClients = true;
            queuedSinceNs = selectorThread.earliestArrivalNs();
        }
    }

    @Override
    public void updateKey() { }

    @Override
    public void replaceKey(SelectionKey newKey) { }

    /** @param endedNs the time at which the last accept of the round began */
    private record Round(End end, long endedNs) { }

    /** Accepts clients and passes each on to the loop; runs on the acceptor's thread. */
    private Round acceptUpTo(int max) {
        int emptyAccepts = 0;
        for (int accepted = 0; accepted < max && emptyAccepts < MAX_EMPTY_ACCEPTS; ) {
            long startNs = System.nanoTime();
            try {
                SocketChannel channel = listener.accept();
                if (channel != null) {
                    selectorThread.submit(() -> passOn(channel));
                    accepted++;
                    emptyAccepts = 0;
                } else if (isQueueEmpty()) {
                    return new Round(End.EMPTY, startNs);
                } else {
                    emptyAccepts++;
                }
            } catch (IOException e) {
                return new Round(End.FAILED, startNs);
            }
        }
        return new Round(emptyAccepts == MAX_EMPTY_ACCEPTS ? End.FAILED : End.LIMIT_REACHED, System.nanoTime());
    }

    /** Distinguishes an empty queue from an accept that a signal interrupted (EINTR): both return no connection. */
    private boolean isQueueEmpty() throws IOException {
        queueSelector.selectedKeys().clear();
        return queueSelector.selectNow() == 0;
    }

    /** Passes on an accepted client, and closes it if it cannot be set up. */
    private void passOn(SocketChannel channel) {
        try {
            acceptHandler.onAccepted(channel, queuedSinceNs);
        } catch (IOException e) {
            IO.close(channel);
        }
    }

    /** Resumes accepting, at once, when the next client arrives, or, if accept has failed, after a pause. */
    private void resume(Round round) {
        if (round.end == End.EMPTY) {
            queuedSinceNs = round.endedNs;
        }
        if (key.isValid() && round.end == End.FAILED) {
            // descriptors have run out: pending connections stay in the queue
            selectorThread.pauseAfterFailedAccept(key);
        } else if (key.isValid() && round.end == End.LIMIT_REACHED) {
            // without a select in between: more are most likely pending
            acceptRound();
        } else if (key.isValid()) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    /**
     * Accepts all pending connections, then closes the listener: the kernel resets those that are still in the queue of a closed
     * listener. A channel that is registered with a selector closes only at the next select, when more may have connected, so its key
     * is cancelled first. {@code closed} receives true once the listener is closed and the input of the accepted clients has been
     * processed, or false if accept failed and the listener is still open; close is then to be called once more.
     */
    void close(Consumer<Boolean> closed) {
        selectorThread.submit(() -> {
            if (key != null) {
                key.cancel();
            }
            closeUnregistered(closed);
        });
    }

    private void closeUnregistered(Consumer<Boolean> closed) {
        if (key != null && listener.keyFor(key.selector()) != null) {
            selectorThread.submit(() -> closeUnregistered(closed));
            return;
        }
        recordArrival();
        acceptor.execute(() -> {
            boolean emptied = acceptUpTo(Integer.MAX_VALUE).end == End.EMPTY && closeListener();
            // if accept failed, for example with ENFILE, closing would reset the connections left in the queue
            selectorThread.submit(() -> {
                if (emptied) {
                    selectorThread.afterPendingInput(() -> closed.accept(true));
                } else {
                    closed.accept(!listener.isOpen());
                }
            });
        });
    }

    private boolean closeListener() {
        try {
            // a registered channel closes only when its selector closes or selects
            listener.close();
            queueSelector.close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
