package granitefold.net;

import granitefold.figures.LoopUse;
import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
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
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.DatagramChannelEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.util.IO;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A Jetty selector manager with a single selector and a single thread. Tasks that Jetty would submit to a pool run on that
 * thread too, between two selects, so that connections and the reducer need no locks.
 */
public final class SelectorThread extends SelectorManager {
    static final int MAX_ACCEPTS_PER_ROUND = 8;
    private static final long ACCEPT_RETRY_DELAY_MS = 10;
    /** A socket is watched from the second select after it is asked for, and input that the third reports arrived after the second. */
    private static final int SELECTS_UNTIL_WATCHED = 3;
    /** A round of the loop that takes longer is logged: meanwhile nobody is answered, and no timer runs. */
    private static final long SLOW_ROUND_NS = TimeUnit.MILLISECONDS.toNanos(250);
    /** The maximum of rounds that {@link #afterPendingInput} waits for connections with input left. */
    static final int MAX_INPUT_ROUNDS = 64;

    private final TimerHandler timerHandler;
    /** The time of the last select, and how long the loop was busy between the one before and that. */
    private long lastSelectNs = System.nanoTime();
    private long busyBeforeSelectNs;
    /** The same for the select before that. */
    private long previousBusyNs;
    private long selectCount;
    private boolean selectedBefore;
    private long slowRounds;
    private long longestRoundNs;
    private final List<ClientListener> clientListeners = new ArrayList<>(1);
    /** Listeners whose accept has failed, with the time of the next attempt. */
    private final Map<SelectionKey, Long> acceptRetryTimesNs = new HashMap<>(1);

    private final TurnScheduler turns = new TurnScheduler(this::requestRound);
    private boolean roundRequested;

    /** Runs timers on the same thread as the sockets. */
    public interface TimerHandler {
        /** Returns the milliseconds, rounded up, until {@link #onTimer} is to be called; at most 1000. */
        long millisUntilTimer();

        /** Called in each round; {@code inputReadNs}: all that discovery and workers had sent by that time ({@link System#nanoTime}) is read. */
        void onTimer(long inputReadNs);
    }

    /** Handles connections that a listener has accepted. */
    public interface AcceptHandler {
        /** Returns whether another connection may be accepted now; called before each accept. */
        default boolean canAccept() {
            return true;
        }

        void onAccepted(SocketChannel channel) throws IOException;
    }

    public SelectorThread(String name, TimerHandler timerHandler) {
        this(timerHandler, new SingleThreadExecutor(name));
    }

    private SelectorThread(TimerHandler timerHandler, SingleThreadExecutor thread) {
        super(thread, new InactiveScheduler(), 1);
        this.timerHandler = timerHandler;
        thread.selectorThread = this;
    }

    /** Runs a task on the selector's thread; may be called from any thread. */
    public void submit(Runnable task) {
        chooseSelector().submit(selector -> task.run());
    }

    /**
     * Runs a task after all input that has arrived by now has been processed. That takes three rounds of tasks: one for the keys
     * selected before, one for the next select, one for the tasks that it submits. More rounds follow while connections wait for a turn,
     * up to a limit: a remote end that sends without a pause must not hold back the task.
     */
    void afterPendingInput(Runnable task) {
        submit(() -> submit(() -> submit(() -> runOnceFalse(turns::hasWaiting, task, MAX_INPUT_ROUNDS))));
    }

    /** Like {@link #afterPendingInput}, but does not wait for what clients have sent. */
    void afterPendingOutboundInput(Runnable task) {
        submit(() -> submit(() -> submit(() -> runOnceFalse(turns::hasWaitingOutbound, task, MAX_INPUT_ROUNDS))));
    }

    private void runOnceFalse(BooleanSupplier waiting, Runnable task, int maxRounds) {
        if (maxRounds == 0 || !waiting.getAsBoolean()) {
            task.run();
        } else {
            submit(() -> runOnceFalse(waiting, task, maxRounds - 1));
        }
    }

    /** Returns what the loop was busy with; called on the selector's thread. */
    LoopUse use() {
        return turns.use(slowRounds, longestRoundNs);
    }

    /** Decides when connections read; used on the selector's thread. */
    TurnScheduler turns() {
        return turns;
    }

    /** Has the turns and the timers run after the selected keys have been processed, or in the next round after that. */
    private void requestRound() {
        if (!roundRequested) {
            roundRequested = true;
            submit(this::runRound);
        }
    }

    private void runRound() {
        roundRequested = false;
        turns.runOutbound();
        timerHandler.onTimer(lastSelectNs);
        turns.runClients();
        if (turns.hasWaiting()) {
            requestRound();
        }
    }

    /** Accepts connections on the selector's thread, which is blocked while accept is. */
    public void listen(ServerSocketChannel listener, AcceptHandler acceptHandler) {
        chooseSelector().submit(selector -> {
            try {
                Acceptor acceptor = new Acceptor(listener, acceptHandler);
                acceptor.key = listener.register(selector, SelectionKey.OP_ACCEPT, acceptor);
            } catch (ClosedChannelException e) {
                // the process is shutting down
            }
        });
    }

    /** Accepts clients, the first of which may have been waiting in the queue since {@code openedNs}; may be called from any thread. */
    void listen(ClientListener listener, long openedNs) {
        chooseSelector().submit(selector -> {
            clientListeners.add(listener);
            listener.register(selector, openedNs);
        });
    }

    /** Returns the earliest possible arrival of input that the last select reported for the first time; called on the selector's thread. */
    long earliestArrivalNs() {
        return lastSelectNs - busyBeforeSelectNs;
    }

    /** The same for a socket that is watched since there were {@code awaitingSince} selects: the select before the last may have left it out. */
    long earliestArrivalNs(long awaitingSince) {
        return earliestArrivalNs() - (selectCount - awaitingSince < SELECTS_UNTIL_WATCHED ? previousBusyNs : 0);
    }

    /** Returns the number of selects so far. */
    long selectCount() {
        return selectCount;
    }

    /** Pauses a listener whose accept has failed: it stays ready, so that retrying at once would spin. */
    void pauseAfterFailedAccept(SelectionKey key) {
        if (key.isValid()) {
            key.interestOps(0);
            acceptRetryTimesNs.put(key, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ACCEPT_RETRY_DELAY_MS));
        }
    }

    private long millisUntilAcceptRetry() {
        long nowNs = System.nanoTime();
        return acceptRetryTimesNs.values().stream()
                .mapToLong(at -> Math.max(0, TimeUnit.NANOSECONDS.toMillis(at - nowNs) + 1)).min().orElse(Long.MAX_VALUE);
    }

    private void resumeAccepting(Selector selector) {
        long nowNs = System.nanoTime();
        acceptRetryTimesNs.entrySet().removeIf(e -> {
            boolean due = e.getValue() - nowNs <= 0;
            if (due && e.getKey().isValid()) {
                e.getKey().interestOps(SelectionKey.OP_ACCEPT);
            }
            return due;
        });
    }

    /** Pauses or resumes a listener; may be called from any thread. */
    public void setPaused(ServerSocketChannel listener, boolean paused) {
        chooseSelector().submit(selector -> {
            SelectionKey key = listener.keyFor(selector);
            if (key != null && key.isValid()) {
                key.interestOps(paused ? 0 : SelectionKey.OP_ACCEPT);
            }
        });
    }

    /** Counts a round, and logs one that took too long, except for the time before the first select, in which the process starts. */
    private void endRound() {
        if (selectedBefore) {
            longestRoundNs = Math.max(longestRoundNs, busyBeforeSelectNs);
        }
        if (selectedBefore && busyBeforeSelectNs > SLOW_ROUND_NS) {
            slowRounds++;
            EventLog.log(LogEvent.LOOP_SLOW, TimeUnit.NANOSECONDS.toMillis(busyBeforeSelectNs), turns.describeRound());
        }
        selectedBefore = true;
        turns.startRound();
    }

    @Override
    protected ManagedSelector newSelector(int id) {
        return new ManagedSelector(this, id) {
            /** Selects until the next timer at most. */
            @Override
            protected int nioSelect(Selector selector, boolean now) throws IOException {
                long timeoutMs = Math.min(timerHandler.millisUntilTimer(), millisUntilAcceptRetry());
                previousBusyNs = busyBeforeSelectNs;
                busyBeforeSelectNs = System.nanoTime() - lastSelectNs;
                selectCount++;
                endRound();
                // a client that arrives during a blocking select has not waited: selectNow first finds those that came earlier
                boolean pollFirst = clientListeners.stream().anyMatch(ClientListener::mayHavePendingClients);
                int selectedKeys = now || pollFirst || timeoutMs <= 0 ? selector.selectNow() : selector.select(timeoutMs);
                if (selectedKeys == 0 && timerHandler.millisUntilTimer() <= 0) {
                    // a select that a signal has interrupted past its timeout has not looked at the sockets
                    selectedKeys = selector.selectNow();
                }
                lastSelectNs = System.nanoTime();
                clientListeners.forEach(listener -> listener.afterSelect(selector));
                resumeAccepting(selector);
                if (timerHandler.millisUntilTimer() <= 0) {
                    requestRound();
                }
                return selectedKeys;
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

    /** Accepts a few connections per round: a burst must not use up the descriptors before others are closed. */
    private final class Acceptor implements ManagedSelector.Selectable {
        private final ServerSocketChannel listener;
        private final AcceptHandler acceptHandler;
        private SelectionKey key;

        Acceptor(ServerSocketChannel listener, AcceptHandler acceptHandler) {
            this.listener = listener;
            this.acceptHandler = acceptHandler;
        }

        @Override
        public Runnable onSelected() {
            try {
                int accepted = 0;
                while (accepted < MAX_ACCEPTS_PER_ROUND && acceptHandler.canAccept() && acceptNext()) {
                    accepted++;
                }
            } catch (IOException e) {
                // the listener was closed, or descriptors have run out: pending connections stay in the queue
                pauseAfterFailedAccept(key);
            }
            return null;
        }

        /** Accepts one connection, and closes it if it cannot be set up; returns false if none is pending. */
        private boolean acceptNext() throws IOException {
            SocketChannel channel = listener.accept();
            if (channel == null) {
                return false;
            }
            try {
                acceptHandler.onAccepted(channel);
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

    /** Receives the result of opening a channel. */
    public interface ConnectionHandler {
        Connection opened(EndPoint endPoint);

        void failed(Throwable cause);
    }

    /** Runs the first task, the selector's own loop, on the thread; submits all later ones to that loop. */
    private static final class SingleThreadExecutor implements Executor {
        private SelectorThread selectorThread;
        private final String name;
        private Thread thread;

        SingleThreadExecutor(String name) {
            this.name = name;
        }

        @Override
        public synchronized void execute(Runnable task) {
            if (thread == null) {
                thread = new Thread(task, name);
                thread.start();
            } else {
                selectorThread.submit(task);
            }
        }
    }

    /** Never runs Jetty's timers: all time-outs are handled by the reducer. */
    private static final class InactiveScheduler extends AbstractLifeCycle implements Scheduler {
        @Override
        public Task schedule(Runnable task, long delay, TimeUnit units) {
            return () -> true;
        }
    }
}
