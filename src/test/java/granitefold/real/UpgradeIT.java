package granitefold.real;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import granitefold.standin.ClosedLoopClients;
import granitefold.standin.ClosedLoopClients.End;
import granitefold.standin.Fleet;
import java.io.IOException;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** A new version started beside the running one, on the same addresses, under load. */
public final class UpgradeIT {
    /** Number of upgrades. Acceptance requires 20: {@code -Dupgrades=20}. */
    private static final int UPGRADES = Integer.getInteger("upgrades", 5);
    private static final int TIMEOUT_S = 30;

    private static Fleet.Dispatcher startServing(Fleet fleet) throws Exception {
        Fleet.Dispatcher dispatcher = fleet.dispatcher("", fleet.discovery.listJson(null));
        dispatcher.startAlongside();
        dispatcher.awaitReady();
        return dispatcher;
    }

    private static void assertExitsNormally(Process process) throws InterruptedException {
        assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS), "the old process did not exit by itself");
        assertEquals(process.exitValue(), 0);
    }

    /** Guards against a closing listener that resets queued connections, and against closing kept connections as requests arrive. */
    @Test
    public void upgradeLosesNoRequestAndRefusesNoConnection() throws Exception {
        try (Fleet fleet = new Fleet(4, 8)) {
            Fleet.Dispatcher dispatcher = startServing(fleet);
            try (ClosedLoopClients keepAlive = new ClosedLoopClients("k", dispatcher.address(), 8, 20_000, true);
                    ClosedLoopClients perRequest = new ClosedLoopClients("f", dispatcher.address(), 8, 20_000, false)) {
                for (int i = 0; i < UPGRADES; i++) {
                    keepAlive.awaitServed(keepAlive.count(End.SERVED) + 50);
                    Process old = dispatcher.startAlongside();
                    dispatcher.awaitReady();
                    dispatcher.awaitLog("upgrade: took over what the old version learned of 4 workers");
                    old.destroy();
                    perRequest.awaitServed(perRequest.count(End.SERVED) + 50);
                    assertExitsNormally(old);
                }
                keepAlive.stop();
                perRequest.stop();
                for (ClosedLoopClients c : new ClosedLoopClients[] {keepAlive, perRequest}) {
                    assertEquals(c.count(End.CUT) + c.count(End.FAILED), 0, c.toString());
                    assertTrue(c.count(End.UNHEARD) + c.count(End.REFUSED) <= 2L * UPGRADES, c.toString());
                    assertEquals(c.count(End.SERVED) + c.count(End.REJECTED), c.requests(), c.toString());
                }
                System.out.println(UPGRADES + " upgrades: kept " + keepAlive + "; fresh " + perRequest);
            }
            assertEquals(fleet.jobsRepeated(), 0);
        }
    }

    /** The time in which a client that has stopped within a request gets an error or a close. */
    private static final int OWED_MS = 3_000;
    /** More than a connection may process in one turn. */
    private static final int HEALTH_CHECKS = 40;

    /** Guards against half a request behind answered ones that the old process leaves open until its own end. */
    @Test
    public void halfARequestAtTheOldProcessGetsAnErrorOrClose() throws Exception {
        try (Fleet fleet = new Fleet(1, 8)) {
            Fleet.Dispatcher dispatcher = startServing(fleet);
            try (Socket socket = new Socket()) {
                socket.connect(dispatcher.address());
                Exchange client = new Exchange(socket);
                String healthCheck = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
                assertEquals(client.write(healthCheck).readStatus(), 200);
                Process old = dispatcher.startAlongside();
                dispatcher.awaitReady();
                client.write(healthCheck.repeat(HEALTH_CHECKS) + healthCheck.substring(0, healthCheck.length() / 2));
                for (int i = 0; i < HEALTH_CHECKS; i++) {
                    assertEquals(client.readStatus(), 200);
                }
                old.destroy();
                socket.setSoTimeout(OWED_MS);
                assertTrue(client.read() == null || client.lastStatus() >= 400, client.firstLine);
                socket.close();
                assertExitsNormally(old);
            }
        }
    }

    /** A new version that never serves or exits early does not affect the old one. */
    @Test
    public void newVersionThatExitsEarlyLosesNothing() throws Exception {
        try (Fleet fleet = new Fleet(4, 8)) {
            Fleet.Dispatcher dispatcher = startServing(fleet);
            try (ClosedLoopClients keepAlive = new ClosedLoopClients("k", dispatcher.address(), 8, 20_000, true)) {
                keepAlive.awaitServed(50);
                Process old = dispatcher.startAlongside();
                dispatcher.kill();
                keepAlive.awaitServed(keepAlive.count(End.SERVED) + 50);
                assertTrue(old.isAlive());
                // The files that the killed process left in the shared folder do not matter: the graceful shutdown is a normal one.
                old.destroy();
                keepAlive.awaitServed(keepAlive.count(End.SERVED) + 50);
                keepAlive.stop();
                assertEquals(keepAlive.count(End.CUT) + keepAlive.count(End.FAILED), 0, keepAlive.toString());
                assertExitsNormally(old);
            }
        }
    }

    /** Either process may be killed at any moment: only its open requests are lost, and the other one serves on. */
    @Test
    public void eitherProcessMayBeKilled() throws Exception {
        Random random = new Random(7);
        int clients = 8;
        try (Fleet fleet = new Fleet(4, 8)) {
            Fleet.Dispatcher dispatcher = startServing(fleet);
            try (ClosedLoopClients keepAlive = new ClosedLoopClients("k", dispatcher.address(), clients, 20_000, true)) {
                for (int i = 0; i < 4; i++) {
                    keepAlive.awaitServed(keepAlive.count(End.SERVED) + 50);
                    Process old = dispatcher.startAlongside();
                    if (i % 2 == 0) {
                        // Mostly before the new process is ready, which then becomes ready without the old one.
                        keepAlive.awaitServed(keepAlive.count(End.SERVED) + random.nextInt(300));
                        old.destroyForcibly().waitFor();
                        dispatcher.awaitReady();
                    } else {
                        dispatcher.awaitReady();
                        old.destroy();
                        keepAlive.awaitServed(keepAlive.count(End.SERVED) + random.nextInt(20));
                        Process killed = dispatcher.process();
                        // The old process is shutting down: the remaining clients wait for the next start.
                        killed.destroyForcibly().waitFor();
                        dispatcher.startAlongside();
                        dispatcher.awaitReady();
                    }
                    keepAlive.awaitServed(keepAlive.count(End.SERVED) + 50);
                }
                keepAlive.stop();
                assertEquals(keepAlive.count(End.FAILED), 0, keepAlive.toString());
                // Each kill cuts at most the one open request of each client.
                assertTrue(keepAlive.count(End.CUT) <= 4L * clients, keepAlive.toString());
            }
            assertEquals(fleet.jobsRepeated(), 0, "a job id was started twice");
        }
    }

    /** The old process is paused at its SIGTERM: the new one serves, and the old one exits once it is resumed. */
    @Test
    public void oldProcessMayBePausedDuringTheUpgrade() throws Exception {
        try (Fleet fleet = new Fleet(4, 8)) {
            Fleet.Dispatcher dispatcher = startServing(fleet);
            Process old = dispatcher.startAlongside();
            dispatcher.awaitReady();
            RealTest.signal(old, "STOP");
            RealTest.signal(old, "TERM");
            RealTest.signal(old, "CONT");
            assertExitsNormally(old);
            try (ClosedLoopClients perRequest = new ClosedLoopClients("f", dispatcher.address(), 4, 20_000, false)) {
                perRequest.awaitServed(50);
                perRequest.stop();
                assertEquals(perRequest.count(End.SERVED), perRequest.requests(), perRequest.toString());
            }
        }
    }
}
