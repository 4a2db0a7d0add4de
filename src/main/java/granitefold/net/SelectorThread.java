package granitefold.net;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.DatagramChannelEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.util.IO;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Jetty's selector manager, cut down to one selector on one thread. Tasks that Jetty would hand to a pool run on
 * that thread too, between two selects, so that connections and the reducer need no locks.
 */
public final class SelectorThread extends SelectorManager {
    static final int ACCEPTED_A_ROUND = 8;
    private static final long ACCEPT_BACK_OFF_MS = 10;

    private final TimerHandler host;
    /** When the last select returned, and how long the loop was busy between the one before and that. */
    private long selectedNs = System.nanoTime();
    private long busyNs;
    private final List<ClientListener> clientListeners = new ArrayList<>(1);
    /** Listeners whose accept has failed, and when to try each again. */
    private final Map<SelectionKey, Long> backingOff = new HashMap<>(1);

    /** What goes on beside the sockets, on the same thread. */
    public interface TimerHandler {
        /** Milliseconds, rounded up, until {@link #onTimer} is to be called; at most 1000. */
        long millisUntilTimer();

        void onTimer();
    }

    /** Takes a connection that a listener has accepted. */
    public interface AcceptHandler {
        /** Whether there is room for another now; asked before each. */
        default boolean canAccept() {
            return true;
        }

        void onAccepted(SocketChannel channel) throws IOException;
    }

    public SelectorThread(String name, TimerHandler host) {
        this(host, new OneThread(name));
    }

    private SelectorThread(TimerHandler host, OneThread thread) {
        super(thread, new NoTimeouts(), 1);
        this.host = host;
        thread.sockets = this;
    }

    /** Runs a task on the selector's thread, from any thread. */
    public void submit(Runnable task) {
        chooseSelector().submit(selector -> task.run());
    }

    /**
     * Runs a task once all that had come to the sockets by now has been gone through. Tasks wait for the next round:
     * one for what was selected before, one for the select, one for what that hands on.
     */
    void afterLook(Runnable task) {
        submit(() -> submit(() -> submit(task)));
    }

    /** Takes new connections from a listener on the selector's thread, which stands still while accept does. */
    public void listen(ServerSocketChannel listener, AcceptHandler taking) {
        chooseSelector().submit(selector -> {
            try {
                Acceptor acceptor = new Acceptor(listener, taking);
                acceptor.key = listener.register(selector, SelectionKey.OP_ACCEPT, acceptor);
            } catch (ClosedChannelException e) {
                // the program ends already
            }
        });
    }

    /** Takes clients from a listener, in whose queue the first may have waited since {@code openedNs}; from any thread. */
    void listen(ClientListener listener, long openedNs) {
        chooseSelector().submit(selector -> {
            clientListeners.add(listener);
            listener.begin(selector, openedNs);
        });
    }

    /** What a select shows for the first time has come since then at the earliest; on the selector's thread. */
    long unseenSinceNs() {
        return selectedNs - busyNs;
    }

    /** What is read now has come since the sockets were looked at before: so long ago at the most. On the selector's thread. */
    long unseenUs() {
        return TimeUnit.NANOSECONDS.toMicros(busyNs + System.nanoTime() - selectedNs);
    }

    /** A listener whose accept has just failed is left alone for a moment: it stays readable, and trying on at once would spin. */
    void backOff(SelectionKey key) {
        if (key.isValid()) {
            key.interestOps(0);
            backingOff.put(key, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ACCEPT_BACK_OFF_MS));
        }
    }

    private long untilAccepting() {
        long now = System.nanoTime();
        return backingOff.values().stream().mapToLong(at -> Math.max(0, TimeUnit.NANOSECONDS.toMillis(at - now) + 1)).min().orElse(Long.MAX_VALUE);
    }

    private void acceptAgain(Selector selector) {
        long now = System.nanoTime();
        backingOff.entrySet().removeIf(e -> {
            boolean due = e.getValue() - now <= 0;
            if (due && e.getKey().isValid()) {
                e.getKey().interestOps(SelectionKey.OP_ACCEPT);
            }
            return due;
        });
    }

    /** Stops or goes on taking connections from a listener; on the selector's thread. */
    public void setPaused(ServerSocketChannel listener, boolean on) {
        chooseSelector().submit(selector -> {
            SelectionKey key = listener.keyFor(selector);
            if (key != null && key.isValid()) {
                key.interestOps(on ? 0 : SelectionKey.OP_ACCEPT);
            }
        });
    }

    @Override
    protected ManagedSelector newSelector(int id) {
        return new ManagedSelector(this, id) {
            /** A select that also ends when the reducer is to be woken. */
            @Override
            protected int nioSelect(Selector selector, boolean now) throws IOException {
                long wait = Math.min(host.millisUntilTimer(), untilAccepting());
                busyNs = System.nanoTime() - selectedNs;
                // who comes while a select waits has not waited: whether somebody is there already is asked first
                boolean look = clientListeners.stream().anyMatch(ClientListener::mayHoldClients);
                int n = now || look || wait <= 0 ? selector.selectNow() : selector.select(wait);
                selectedNs = System.nanoTime();
                clientListeners.forEach(listener -> listener.selected(selector));
                acceptAgain(selector);
                if (host.millisUntilTimer() <= 0) {
                    submit(s -> host.onTimer());
                }
                return n;
            }
        };
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return channel instanceof DatagramChannel datagrams
                ? new DatagramChannelEndPoint(datagrams, selector, key, getScheduler())
                : new RetryingEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    @Override
    public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
        return ((ConnectionHandler) attachment).opened(endPoint);
    }

    @Override
    protected void connectionFailed(SelectableChannel channel, Throwable ex, Object attachment) {
        ((ConnectionHandler) attachment).failed(ex);
    }

    /** Takes in a few new clients a round: a flood must not use up the descriptors before others are closed. */
    private final class Acceptor implements ManagedSelector.Selectable {
        private final ServerSocketChannel listener;
        private final AcceptHandler taking;
        private SelectionKey key;

        Acceptor(ServerSocketChannel listener, AcceptHandler taking) {
            this.listener = listener;
            this.taking = taking;
        }

        @Override
        public Runnable onSelected() {
            try {
                int taken = 0;
                while (taken < ACCEPTED_A_ROUND && taking.canAccept() && takeNext()) {
                    taken++;
                }
            } catch (IOException e) {
                // the listener has gone, or is out of descriptors: the queue keeps whoever waits
                backOff(key);
            }
            return null;
        }

        /** Hands one on; one that cannot be set up is closed, and the others go on. False where nobody waits. */
        private boolean takeNext() throws IOException {
            SocketChannel channel = listener.accept();
            if (channel == null) {
                return false;
            }
            try {
                taking.onAccepted(channel);
            } catch (IOException e) {
                IO.close(channel);
            }
            return true;
        }

        @Override
        public void updateKey() { }

        @Override
        public void replaceKey(SelectionKey newKey) { }
    }

    /** What a channel is opened for. */
    public interface ConnectionHandler {
        Connection opened(EndPoint endPoint);

        void failed(Throwable why);
    }

    /** The first task is the selector's own loop and gets the thread; all later ones are queued to it. */
    private static final class OneThread implements Executor {
        private SelectorThread sockets;
        private final String name;
        private Thread thread;

        OneThread(String name) {
            this.name = name;
        }

        @Override
        public synchronized void execute(Runnable task) {
            if (thread == null) {
                thread = new Thread(task, name);
                thread.start();
            } else {
                sockets.submit(task);
            }
        }
    }

    /** The reducer owns all timers, so none that Jetty asks for ever runs out. */
    private static final class NoTimeouts extends AbstractLifeCycle implements Scheduler {
        @Override
        public Task schedule(Runnable task, long delay, TimeUnit units) {
            return () -> true;
        }
    }
}
