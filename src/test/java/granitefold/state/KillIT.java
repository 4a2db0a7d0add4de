package granitefold.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Kills a writing process at random moments; the state found afterwards is intact and is the last save or a newer one. */
public class KillIT {
    private static final int CYCLES = Integer.getInteger("kill.cycles", 25);

    @Test
    public void killAtAnyMomentLosesNoCompletedSave() throws Exception {
        Path directory = Files.createTempDirectory("kill");
        SplittableRandom random = new SplittableRandom(1);
        long saved = 0;
        for (int cycle = 0; cycle < CYCLES; cycle++) {
            Process p = new ProcessBuilder("java", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-cp",
                    System.getProperty("java.class.path"), SaveLoop.class.getName(), directory.toString())
                    .redirectErrorStream(true).start();
            try (BufferedReader out = p.inputReader()) {
                String first = out.readLine();
                assertTrue(first.startsWith("found "), first);
                long found = Long.parseLong(first.split(" ")[1]);
                assertTrue(found >= saved && found <= saved + 1, "cycle " + cycle + ": saved " + saved + ", " + first);
                assertEquals(first.substring(first.indexOf('[')), "[]", "no generation is damaged");
                // Kill the process a random time after a random number of completed saves.
                int after = random.nextInt(1, 20);
                for (int i = 0; i < after; i++) {
                    saved = Long.parseLong(out.readLine().split(" ")[1]);
                }
                long until = System.nanoTime() + random.nextLong(3_000_000);
                while (System.nanoTime() - until < 0) {
                    Thread.onSpinWait();
                }
                p.toHandle().destroyForcibly();
                for (String l = out.readLine(); l != null && l.startsWith("saved "); l = out.readLine()) {
                    saved = Math.max(saved, l.matches("saved \\d+") ? Long.parseLong(l.split(" ")[1]) : saved);
                }
            } finally {
                p.destroyForcibly().waitFor(30, TimeUnit.SECONDS);
            }
        }
        for (Path f : Files.list(directory).toList()) {
            assertTrue(List.of("learned.state", "learned.state.1", "learned.new", "learned.lock")
                    .contains(f.getFileName().toString()), f.toString());
            Files.delete(f);
        }
        Files.delete(directory);
    }
}
