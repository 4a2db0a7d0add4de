package granitefold.net;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.DatagramChannelEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Jetty's selector manager, cut down to one selector on one thread. Tasks that Jetty would hand to a pool run on
 * that thread too, between two selects, so that connections and the reducer need no locks.
 */
final class Sockets extends SelectorManager {
    static final int ACCEPTED_A_ROUND = 8;

    private final Loop loop;

    Sockets(Loop loop) {
        this(loop, new OneThread());
    }

    private Sockets(Loop loop, OneThread thread) {
        super(thread, new NoTimeouts(), 1);
        this.loop = loop;
        thread.sockets = this;
    }

    /** Runs a task on the selector's thread, from any thread. */
    void submit(Runnable task) {
        chooseSelector().submit(selector -> task.run());
    }

    /** Takes new connections from a listener. */
    void listen(ServerSocketChannel listener) {
        chooseSelector().submit(selector -> {
            try {
                listener.register(selector, SelectionKey.OP_ACCEPT, new Acceptor(listener));
            } catch (ClosedChannelException e) {
                // the program ends already
            }
        });
    }

    @Override
    protected ManagedSelector newSelector(int id) {
        return new ManagedSelector(this, id) {
            /** A select that also ends when the reducer is to be woken. */
            @Override
            protected int nioSelect(Selector selector, boolean now) throws IOException {
                long wait = loop.untilWake();
                int n = now || wait <= 0 ? selector.selectNow() : selector.select(wait);
                if (loop.untilWake() <= 0) {
                    submit(s -> loop.wake());
                }
                return n;
            }
        };
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return channel instanceof DatagramChannel datagrams
                ? new DatagramChannelEndPoint(datagrams, selector, key, getScheduler())
                : new SocketChannelEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    @Override
    public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
        return ((Opening) attachment).opened(endPoint);
    }

    @Override
    protected void connectionFailed(SelectableChannel channel, Throwable ex, Object attachment) {
        ((Opening) attachment).failed(ex);
    }

    /** Takes in a few new clients a round: a flood must not use up the descriptors before others are closed. */
    private final class Acceptor implements ManagedSelector.Selectable {
        private final ServerSocketChannel listener;

        Acceptor(ServerSocketChannel listener) {
            this.listener = listener;
        }

        @Override
        public Runnable onSelected() {
            try {
                for (int i = 0; i < ACCEPTED_A_ROUND; i++) {
                    SocketChannel channel = listener.accept();
                    if (channel == null) {
                        break;
                    }
                    loop.accepted(channel);
                }
            } catch (IOException e) {
                // the client has gone again, or the listener; the next round tells
            }
            return null;
        }

        @Override
        public void updateKey() { }

        @Override
        public void replaceKey(SelectionKey newKey) { }
    }

    /** What a channel is opened for. */
    interface Opening {
        Connection opened(EndPoint endPoint);

        void failed(Throwable why);
    }

    /** The first task is the selector's own loop and gets the thread; all later ones are queued to it. */
    private static final class OneThread implements Executor {
        private Sockets sockets;
        private Thread thread;

        @Override
        public synchronized void execute(Runnable task) {
            if (thread == null) {
                thread = new Thread(task, "dispatcher");
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
