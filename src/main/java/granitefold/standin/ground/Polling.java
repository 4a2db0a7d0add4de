package granitefold.standin.ground;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Polls a condition until it holds; on timeout, fails with the name of the condition and diagnostics. */
final class Polling {
    private static final long POLL_INTERVAL_MS = 5;

    private Polling() { }

    static void until(String what, long seconds, Callable<Boolean> condition, Supplier<String> diagnostics) throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        Exception lastError = null;
        while (System.nanoTime() - deadlineNs < 0) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception e) {
                lastError = e;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        throw new IllegalStateException("timed out after " + seconds + " s waiting for: " + what + (lastError == null ? "" : " (" + lastError + ")")
                + "\n" + diagnostics.get());
    }
}
