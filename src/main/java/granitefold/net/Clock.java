package granitefold.net;

import java.util.concurrent.TimeUnit;

/** A monotonic clock in microseconds, aligned to Unix time once, so that its values compare with the times in worker lists. */
final class Clock {
    private final long offsetUs = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis()) - System.nanoTime() / 1000;

    long micros() {
        return offsetUs + System.nanoTime() / 1000;
    }
}
