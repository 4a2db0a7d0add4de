package granitefold.standin.ground;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Waits for a sign of readiness, for so long at the most, and says on failure what was awaited and what there is to see. */
final class Await {
    private static final long LOOK_MS = 5;

    private Await() { }

    static void until(String what, long seconds, Callable<Boolean> sign, Supplier<String> last) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        Exception why = null;
        while (System.nanoTime() - until < 0) {
            try {
                if (sign.call()) {
                    return;
                }
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception e) {
                why = e;
            }
            Thread.sleep(LOOK_MS);
        }
        throw new IllegalStateException("waited " + seconds + " s for: " + what + (why == null ? "" : " (" + why + ")") + "\n" + last.get());
    }
}
