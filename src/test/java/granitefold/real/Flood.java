package granitefold.real;

import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

/** Sends the same text over and over without a pause, on a thread of its own, until the connection or the test ends. */
final class Flood implements Closeable {
    private final Exchange target;
    private final Thread sender;
    private final CountDownLatch begun = new CountDownLatch(1);

    Flood(Exchange target, String unit) {
        this.target = target;
        byte[] bytes = unit.getBytes(StandardCharsets.ISO_8859_1);
        sender = new Thread(() -> send(bytes), "flood");
        sender.setDaemon(true);
        sender.start();
    }

    private void send(byte[] bytes) {
        try {
            while (true) {
                target.socket.getOutputStream().write(bytes);
                begun.countDown();
            }
        } catch (IOException e) {
            // the program or the test has closed the connection
            begun.countDown();
        }
    }

    /** Waits until the first text has been written. */
    Flood awaitBegin() throws InterruptedException {
        begun.await();
        return this;
    }

    /** Waits until the program has closed the connection. */
    void awaitRefused() throws InterruptedException {
        sender.join(RealProgram.TIMEOUT_S * 1000L);
        if (sender.isAlive()) {
            throw new AssertionError("the program has not closed the connection");
        }
    }

    @Override
    public void close() throws IOException {
        target.close();
    }
}
