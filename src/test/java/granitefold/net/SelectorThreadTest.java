package granitefold.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.junit.jupiter.api.Test;

class SelectorThreadTest {
    private static final long BUSY_MS = 200;

    private static final class Silent extends AbstractConnection {
        Silent(EndPoint endPoint) {
            super(endPoint, Runnable::run);
        }

        @Override
        public void onFillable() { }
    }

    private static final class Idle implements SelectorThread.TimerHandler {
        @Override
        public long millisUntilTimer() {
            return 1_000;
        }

        @Override
        public void onTimer() { }
    }

    /** A connection that came while the loop was busy is reported before whoever asked to look is told. */
    @Test
    void whatCameWhileTheLoopWasBusyIsReportedBeforeTheLook() throws Exception {
        List<String> order = new CopyOnWriteArrayList<>();
        CountDownLatch looked = new CountDownLatch(1);
        SelectorThread sockets = new SelectorThread("test", new Idle());
        sockets.start();
        try (ServerSocketChannel server = ServerSocketChannel.open()) {
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            sockets.submit(() -> {
                try {
                    boolean up = channel.connect(server.getLocalAddress());
                    SelectorThread.ConnectionHandler opening = new SelectorThread.ConnectionHandler() {
                        @Override
                        public Connection opened(EndPoint endPoint) {
                            order.add("opened");
                            return new Silent(endPoint);
                        }

                        @Override
                        public void failed(Throwable why) {
                            order.add("failed " + why);
                        }
                    };
                    if (up) {
                        sockets.accept(channel, opening);
                    } else {
                        sockets.connect(channel, opening);
                    }
                    // the loop stands still until the connection is up
                    CompletableFuture.supplyAsync(() -> accept(server)).get(10, TimeUnit.SECONDS);
                } catch (Exception e) {
                    order.add("broken " + e);
                }
                sockets.afterLook(() -> {
                    order.add("looked");
                    looked.countDown();
                });
            });
            looked.await(10, TimeUnit.SECONDS);
            assertEquals(List.of("opened", "looked"), order);
            channel.close();
        } finally {
            sockets.stop();
        }
    }

    /** Clients' time runs from when they come: whoever came while the loop was busy with others has waited. */
    @Test
    void aConnectionThatCameWhileTheLoopWasBusyIsKnownToHaveWaited() throws Exception {
        SelectorThread sockets = new SelectorThread("test", new Idle());
        sockets.start();
        BlockingQueue<Long> waitsSinceNs = new LinkedBlockingQueue<>();
        try (ServerSocketChannel listener = ServerSocketChannel.open()) {
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            listener.configureBlocking(false);
            sockets.listen(new ClientListener(sockets, listener, (channel, sinceNs) -> {
                waitsSinceNs.add(sinceNs);
                channel.close();
            }), System.nanoTime());
            BlockingQueue<Long> cameNs = new LinkedBlockingQueue<>();
            sockets.submit(() -> sockets.submit(() -> {
                try {
                    cameNs.add(System.nanoTime());
                    SocketChannel.open(listener.getLocalAddress()).close();
                    Thread.sleep(BUSY_MS);
                } catch (IOException | InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }));
            long came = cameNs.poll(10, TimeUnit.SECONDS);
            long since = waitsSinceNs.poll(10, TimeUnit.SECONDS);
            assertTrue(since - came < TimeUnit.MILLISECONDS.toNanos(BUSY_MS / 4), "it came " + (since - came) / 1_000_000 + " ms before");
        } finally {
            sockets.stop();
        }
    }

    /** A process's listener is open some time before its loop runs, and who comes meanwhile waits in the queue. */
    @Test
    void aConnectionThatCameBeforeTheLoopRanIsKnownToHaveWaited() throws Exception {
        SelectorThread sockets = new SelectorThread("test", new Idle());
        BlockingQueue<Long> waitsSinceNs = new LinkedBlockingQueue<>();
        long openedNs = System.nanoTime();
        try (ServerSocketChannel listener = ServerSocketChannel.open()) {
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            listener.configureBlocking(false);
            long cameNs = System.nanoTime();
            SocketChannel.open(listener.getLocalAddress()).close();
            Thread.sleep(BUSY_MS);
            sockets.start();
            sockets.listen(new ClientListener(sockets, listener, (channel, sinceNs) -> {
                waitsSinceNs.add(sinceNs);
                channel.close();
            }), openedNs);
            long since = waitsSinceNs.poll(10, TimeUnit.SECONDS);
            assertTrue(since - cameNs <= 0, "it came " + (since - cameNs) / 1_000_000 + " ms before");
        } finally {
            sockets.stop();
        }
    }

    /** So many come at once, and after a quiet time another one: taken to have waited since the others came, its time would be over. */
    private static void comesAfterAQuietTime(int before) throws Exception {
        SelectorThread sockets = new SelectorThread("test", new Idle());
        sockets.start();
        BlockingQueue<Long> waitsSinceNs = new LinkedBlockingQueue<>();
        List<SocketChannel> open = new CopyOnWriteArrayList<>();
        try (ServerSocketChannel listener = ServerSocketChannel.open()) {
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            listener.configureBlocking(false);
            InetSocketAddress address = (InetSocketAddress) listener.getLocalAddress();
            sockets.listen(new ClientListener(sockets, listener, (channel, sinceNs) -> {
                waitsSinceNs.add(sinceNs);
                channel.close();
            }), System.nanoTime());
            sockets.submit(() -> {
                for (int i = 0; i < before; i++) {
                    try {
                        open.add(SocketChannel.open(address));
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                }
            });
            for (int i = 0; i < before; i++) {
                waitsSinceNs.poll(10, TimeUnit.SECONDS);
            }
            Thread.sleep(BUSY_MS);
            long cameNs = System.nanoTime();
            open.add(SocketChannel.open(address));
            long since = waitsSinceNs.poll(10, TimeUnit.SECONDS);
            assertTrue(cameNs - since < TimeUnit.MILLISECONDS.toNanos(BUSY_MS / 2), "taken to have come " + (cameNs - since) / 1_000_000 + " ms before it did");
        } finally {
            for (SocketChannel c : open) {
                c.close();
            }
            sockets.stop();
        }
    }

    @Test
    void theFirstConnectionOfAQuietListenerHasNotWaited() throws Exception {
        comesAfterAQuietTime(0);
    }

    @Test
    void whoComesAfterARoundThatTookAllHasNotWaited() throws Exception {
        comesAfterAQuietTime(SelectorThread.ACCEPTED_A_ROUND);
    }

    /** What had connected but was not taken yet was reset when the listener closed. */
    @Test
    void aListenerThatClosesTakesWhatIsInItsQueue() throws Exception {
        int clients = 40;
        SelectorThread sockets = new SelectorThread("test", new Idle());
        sockets.start();
        CountDownLatch taken = new CountDownLatch(clients);
        List<SocketChannel> open = new CopyOnWriteArrayList<>();
        ServerSocketChannel listener = ServerSocketChannel.open();
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), clients);
        listener.configureBlocking(false);
        try {
            ClientListener clientListener = new ClientListener(sockets, listener, (channel, sinceNs) -> {
                open.add(channel);
                taken.countDown();
            });
            sockets.listen(clientListener, System.nanoTime());
            InetSocketAddress address = (InetSocketAddress) listener.getLocalAddress();
            // the loop stands still while they connect, so that all are in the queue when the listener is to close
            sockets.submit(() -> {
                for (int i = 0; i < clients; i++) {
                    try {
                        open.add(SocketChannel.open(address));
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                }
                clientListener.close(emptied -> { });
            });
            assertTrue(taken.await(10, TimeUnit.SECONDS), taken.getCount() + " were left in the queue");
            CountDownLatch closed = new CountDownLatch(1);
            sockets.submit(() -> sockets.submit(closed::countDown));
            assertTrue(closed.await(10, TimeUnit.SECONDS));
            assertThrows(ConnectException.class, () -> SocketChannel.open(address));
        } finally {
            for (SocketChannel c : open) {
                c.close();
            }
            sockets.stop();
        }
    }

    /** Taken to have waited since the one before, its time would be over. */
    @Test
    void whoIsTakenAsAQuietListenerClosesHasNotWaited() throws Exception {
        SelectorThread sockets = new SelectorThread("test", new Idle());
        sockets.start();
        BlockingQueue<Long> waitsSinceNs = new LinkedBlockingQueue<>();
        ServerSocketChannel listener = ServerSocketChannel.open();
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        listener.configureBlocking(false);
        InetSocketAddress address = (InetSocketAddress) listener.getLocalAddress();
        ClientListener clientListener = new ClientListener(sockets, listener, (channel, sinceNs) -> {
            waitsSinceNs.add(sinceNs);
            channel.close();
        });
        try {
            sockets.listen(clientListener, System.nanoTime());
            Thread.sleep(BUSY_MS);
            BlockingQueue<Long> cameNs = new LinkedBlockingQueue<>();
            // it comes when the selector watches the listener no more
            sockets.submit(() -> {
                clientListener.close(emptied -> { });
                sockets.submit(() -> {
                    try {
                        cameNs.add(System.nanoTime());
                        SocketChannel.open(address).close();
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
            });
            long came = cameNs.poll(10, TimeUnit.SECONDS);
            long since = waitsSinceNs.poll(10, TimeUnit.SECONDS);
            assertTrue(came - since < TimeUnit.MILLISECONDS.toNanos(BUSY_MS / 2), "taken to have come " + (came - since) / 1_000_000 + " ms before it did");
        } finally {
            sockets.stop();
        }
    }

    private static SocketChannel accept(ServerSocketChannel server) {
        try {
            return server.accept();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
