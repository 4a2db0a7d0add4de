package granitefold.real;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import granitefold.standin.Fleet;
import granitefold.standin.ClosedLoopClients;
import granitefold.standin.ClosedLoopClients.End;
import java.io.IOException;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** A new version beside the running one, on the same addresses, under load. */
public final class UpgradeIT {
    /** The issue asks for 20; {@code -Dupgrades=20} plays them. */
    private static final int UPGRADES = Integer.getInteger("upgrades", 5);
    private static final int PATIENCE_S = 30;

    private static Fleet.Dispatcher serving(Fleet fleet) throws Exception {
        Fleet.Dispatcher d = fleet.dispatcher("", fleet.discovery.listJson(null));
        d.startAlongside();
        d.awaitReady();
        return d;
    }

    private static void ended(Process p) throws InterruptedException {
        assertTrue(p.waitFor(PATIENCE_S, TimeUnit.SECONDS), "the old one ends by itself");
        assertEquals(p.exitValue(), 0);
    }

    /** A listener that closed reset what was in its queue, and kept connections closed across requests. */
    @Test
    public void nothingIsLostAndNothingTurnedBackUnheard() throws Exception {
        try (Fleet fleet = new Fleet(4, 8)) {
            Fleet.Dispatcher d = serving(fleet);
            try (ClosedLoopClients kept = new ClosedLoopClients("k", d.address(), 8, 20_000, true);
                    ClosedLoopClients fresh = new ClosedLoopClients("f", d.address(), 8, 20_000, false)) {
                for (int i = 0; i < UPGRADES; i++) {
                    kept.awaitServed(kept.count(End.SERVED) + 50);
                    Process old = d.startAlongside();
                    d.awaitReady();
                    d.awaitLog("upgrade: took over what the old version learned of 4 workers");
                    old.destroy();
                    fresh.awaitServed(fresh.count(End.SERVED) + 50);
                    ended(old);
                }
                kept.stop();
                fresh.stop();
                for (ClosedLoopClients c : new ClosedLoopClients[] {kept, fresh}) {
                    assertEquals(c.count(End.CUT) + c.count(End.FAILED), 0, c.toString());
                    assertTrue(c.count(End.UNHEARD) + c.count(End.REFUSED) <= 2L * UPGRADES, c.toString());
                    assertEquals(c.count(End.SERVED) + c.count(End.REJECTED), c.requests(), c.toString());
                }
                System.out.println(UPGRADES + " upgrades: kept " + kept + "; fresh " + fresh);
            }
            assertEquals(fleet.jobsRepeated(), 0);
        }
    }

    /** The new version never comes to serve, or ends early: the old one goes on as if nothing had been. */
    @Test
    public void aNewVersionThatEndsEarlyCostsNothing() throws Exception {
        try (Fleet fleet = new Fleet(4, 8)) {
            Fleet.Dispatcher d = serving(fleet);
            try (ClosedLoopClients kept = new ClosedLoopClients("k", d.address(), 8, 20_000, true)) {
                kept.awaitServed(50);
                Process old = d.startAlongside();
                d.kill();
                kept.awaitServed(kept.count(End.SERVED) + 50);
                assertTrue(old.isAlive());
                // what the killed one held of the shared folder says nothing: this is a planned end like any other
                old.destroy();
                kept.awaitServed(kept.count(End.SERVED) + 50);
                kept.stop();
                assertEquals(kept.count(End.CUT) + kept.count(End.FAILED), 0, kept.toString());
                ended(old);
            }
        }
    }

    /** Either may be killed at any moment: what was open there is lost, and the one that is left serves on. */
    @Test
    public void bothMayBeKilledInTurn() throws Exception {
        Random random = new Random(7);
        int clients = 8;
        try (Fleet fleet = new Fleet(4, 8)) {
            Fleet.Dispatcher d = serving(fleet);
            try (ClosedLoopClients kept = new ClosedLoopClients("k", d.address(), clients, 20_000, true)) {
                for (int i = 0; i < 4; i++) {
                    kept.awaitServed(kept.count(End.SERVED) + 50);
                    Process old = d.startAlongside();
                    if (i % 2 == 0) {
                        // mostly before the new one has said yes, which then may say so alone
                        kept.awaitServed(kept.count(End.SERVED) + random.nextInt(300));
                        old.destroyForcibly().waitFor();
                        d.awaitReady();
                    } else {
                        d.awaitReady();
                        old.destroy();
                        kept.awaitServed(kept.count(End.SERVED) + random.nextInt(20));
                        Process killed = d.process();
                        // the old one is on its way out: whoever is left over waits for the next start
                        killed.destroyForcibly().waitFor();
                        d.startAlongside();
                        d.awaitReady();
                    }
                    kept.awaitServed(kept.count(End.SERVED) + 50);
                }
                kept.stop();
                assertEquals(kept.count(End.FAILED), 0, kept.toString());
                // of each kill at most what its clients had open
                assertTrue(kept.count(End.CUT) <= 4L * clients, kept.toString());
            }
            assertEquals(fleet.jobsRepeated(), 0, "no id was started twice");
        }
    }

    /** The old one is stopped when its end is asked for: the new one serves, and the old one ends once it goes on. */
    @Test
    public void theOldOneMayBeStoppedMeanwhile() throws Exception {
        try (Fleet fleet = new Fleet(4, 8)) {
            Fleet.Dispatcher d = serving(fleet);
            Process old = d.startAlongside();
            d.awaitReady();
            RealTest.signal(old, "STOP");
            RealTest.signal(old, "TERM");
            RealTest.signal(old, "CONT");
            ended(old);
            try (ClosedLoopClients fresh = new ClosedLoopClients("f", d.address(), 4, 20_000, false)) {
                fresh.awaitServed(50);
                fresh.stop();
                assertEquals(fresh.count(End.SERVED), fresh.requests(), fresh.toString());
            }
        }
    }
}
