package granitefold.standin.ground;

import granitefold.standin.faults.Errno;
import granitefold.standin.faults.SystemCallFault;
import granitefold.standin.history.Entry.What;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Faults of a dispatcher process: failing system calls, pauses, graceful shutdowns with a final kill, and clients that harm others. */
final class ProcessFaults {
    /** The longest pause of a process that the rules have to tolerate. */
    private static final long MAX_PAUSE_MS = 150;
    private static final int HOUR_S = 3600;
    private static final long MAX_ACCEPT_FAULT_DELAY_MS = 400, MAX_ACCEPT_FAULT_MS = 300;
    private static final double ALWAYS_PERCENT = 100;
    private static final int MAX_IDLE_CONNECTIONS = 400, CONNECT_TIMEOUT_MS = 200;
    /** How long a pause waits for its turn after another hold-up of the process, and how often it looks. */
    private static final long MAX_HOLD_UP_WAIT_MS = 2_000, HOLD_UP_POLL_MS = 5;
    private static final String[] SIGNAL_SERIES = {"HUP", "TERM", "HUP", "INT", "TERM", "HUP"};
    private static final long MAX_SIGNAL_INTERVAL_MS = 120;

    private static final Map<String, SystemCallFault> SYSTEM_CALL_FAULTS = Map.ofEntries(
            Map.entry("accept-fails", SystemCallFault.ACCEPT),
            Map.entry("socket-fails", SystemCallFault.SOCKET),
            Map.entry("connect-fails", SystemCallFault.CONNECT),
            Map.entry("waits-interrupted", SystemCallFault.WAIT),
            Map.entry("reads-short", SystemCallFault.SHORT_READ),
            Map.entry("writes-short", SystemCallFault.SHORT_WRITE),
            Map.entry("reads-broken", SystemCallFault.BROKEN_READ),
            Map.entry("storage-fails", SystemCallFault.STORAGE_WRITE),
            Map.entry("syncs-fail", SystemCallFault.STORAGE_SYNC),
            Map.entry("clock-stepped", SystemCallFault.WALL_CLOCK),
            Map.entry("calls-interrupted", SystemCallFault.INTERRUPTED));
    private static final String WRITES_HELD = "writes-held";

    private static final Map<SystemCallFault, List<Errno>> ERRORS = Map.of(
            SystemCallFault.ACCEPT, List.of(Errno.ECONNABORTED, Errno.EINTR, Errno.ENFILE, Errno.ENOBUFS),
            SystemCallFault.SOCKET, List.of(Errno.ENFILE, Errno.ENOBUFS),
            SystemCallFault.CONNECT, List.of(Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.EHOSTUNREACH),
            SystemCallFault.BROKEN_READ, List.of(Errno.ETIMEDOUT, Errno.EHOSTUNREACH),
            SystemCallFault.STORAGE_WRITE, List.of(Errno.ENOSPC, Errno.EIO),
            SystemCallFault.STORAGE_SYNC, List.of(Errno.EIO, Errno.ENOSPC));

    private final TestBed testBed;
    private final Map<DispatcherUnderTest, List<Socket>> idleConnections = new java.util.concurrent.ConcurrentHashMap<>();
    private final HostileClients hostileClients = new HostileClients();
    private final Random random;

    ProcessFaults(TestBed testBed) {
        this.testBed = testBed;
        random = new Random(testBed.seed);
    }

    static boolean handles(String action) {
        return SYSTEM_CALL_FAULTS.containsKey(action) || List.of("hold", "release", "crash", "crowd", "half-requests", "flood", WRITES_HELD).contains(action);
    }

    /** Applies a fault; {@code amount}: the percentage of system calls, the milliseconds of a pause, or the number of clients. */
    void start(String action, DispatcherUnderTest dispatcher, double amount) throws IOException, InterruptedException {
        switch (action) {
            case "hold" -> pauseWhenAllowed(dispatcher, Math.min(MAX_PAUSE_MS, amount > 0 ? (long) amount : MAX_PAUSE_MS));
            case "release" -> restartGracefully(dispatcher);
            case "crash" -> crash(dispatcher, (long) amount);
            case "crowd" -> openIdleConnections(dispatcher);
            case "half-requests" -> hostileClients.stopHalfWay(dispatcher, (int) amount, draw(Integer.MAX_VALUE));
            case "flood" -> hostileClients.flood(dispatcher, Math.max(1, (int) amount), draw(Integer.MAX_VALUE));
            case WRITES_HELD -> dispatcher.faults.enable(SystemCallFault.HELD_WRITE, (int) amount, (int) MAX_PAUSE_MS);
            default -> failSystemCalls(SYSTEM_CALL_FAULTS.get(action), dispatcher, (int) (amount > 0 ? amount : ALWAYS_PERCENT));
        }
    }

    void stop(String action, DispatcherUnderTest dispatcher) throws IOException {
        if (action.equals("crowd")) {
            closeIdleConnections(dispatcher);
        } else if (action.equals("half-requests") || action.equals("flood")) {
            hostileClients.leave(dispatcher);
        } else if (action.equals(WRITES_HELD)) {
            dispatcher.faults.disable(SystemCallFault.HELD_WRITE);
        } else if (SYSTEM_CALL_FAULTS.containsKey(action)) {
            dispatcher.faults.disable(SYSTEM_CALL_FAULTS.get(action));
        }
    }

    private synchronized int draw(int below) {
        return random.nextInt(below);
    }

    private void failSystemCalls(SystemCallFault fault, DispatcherUnderTest dispatcher, int percent) {
        List<Errno> errors = ERRORS.get(fault);
        int value = errors != null ? errors.get(draw(errors.size())).number() : fault == SystemCallFault.WALL_CLOCK
                ? (draw(2) == 0 ? 1 : -1) * (1 + draw(HOUR_S)) : 0;
        dispatcher.faults.enable(fault, percent, value);
    }

    /** Pauses a process once no other hold-up is under way or has just ended: the rules tolerate a single one between two reads of its clock. */
    private static void pauseWhenAllowed(DispatcherUnderTest dispatcher, long ms) throws IOException, InterruptedException {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_HOLD_UP_WAIT_MS);
        while (!pause(dispatcher, ms) && System.nanoTime() < untilNs) {
            Thread.sleep(HOLD_UP_POLL_MS);
        }
    }

    /** Pauses a process; returns false if another hold-up forbids it now. A pause is not recorded, so it permits no violation. */
    private static boolean pause(DispatcherUnderTest dispatcher, long ms) throws IOException, InterruptedException {
        if (!claimHoldUp(dispatcher, ms)) {
            return false;
        }
        DispatcherUnderTest.Incarnation incarnation = dispatcher.current();
        if (incarnation != null && incarnation.process.isAlive()) {
            dispatcher.sendUnrecordedSignal(incarnation, "STOP");
            Thread.sleep(ms);
            dispatcher.sendUnrecordedSignal(incarnation, "CONT");
        }
        return true;
    }

    private static boolean claimHoldUp(DispatcherUnderTest dispatcher, long ms) {
        return dispatcher.faults == null || dispatcher.faults.claimHoldUp(ms);
    }

    /** Terminates a process amid pauses and signals, kills it if it still runs when the platform may first do so, and restarts it. */
    private void restartGracefully(DispatcherUnderTest dispatcher) throws IOException, InterruptedException {
        if (!dispatcher.lifecycleLock.tryLock()) {
            return;
        }
        try {
            if (!dispatcher.alive()) {
                return;
            }
            long terminatedNs = System.nanoTime();
            testBed.loadBalancer.removeAt(dispatcher, testBed.history.now() + LoadBalancer.TERMINATED_TRAFFIC_US);
            long firstPauseMs = draw((int) MAX_PAUSE_MS);
            boolean pausedFirst = draw(2) == 0 && claimHoldUp(dispatcher, firstPauseMs);
            if (pausedFirst) {
                dispatcher.sendUnrecordedSignal(dispatcher.current(), "STOP");
            }
            dispatcher.terminate();
            if (pausedFirst) {
                Thread.sleep(firstPauseMs);
                dispatcher.sendUnrecordedSignal(dispatcher.current(), "CONT");
            }
            if (draw(2) == 0) {
                failAccepts(dispatcher);
            }
            if (draw(2) == 0) {
                for (String signal : SIGNAL_SERIES) {
                    dispatcher.sendUnrecordedSignal(dispatcher.current(), signal);
                    Thread.sleep(draw((int) MAX_SIGNAL_INTERVAL_MS));
                }
            }
            long killAtNs = terminatedNs + TimeUnit.MICROSECONDS.toNanos(testBed.scenario.earliestKillUs());
            long pauseAtNs = killAtNs - TimeUnit.MILLISECONDS.toNanos(MAX_PAUSE_MS + 100 + draw(500));
            if (draw(2) == 0 && pauseAtNs - System.nanoTime() > 0 && !dispatcher.awaitExitUntil(pauseAtNs)) {
                pause(dispatcher, draw((int) MAX_PAUSE_MS));
            }
            if (!dispatcher.awaitExitUntil(killAtNs)) {
                dispatcher.killAfterGracePeriod();
            }
            dispatcher.awaitExit(DispatcherUnderTest.TIMEOUT_S);
            testBed.restart(dispatcher);
        } finally {
            dispatcher.lifecycleLock.unlock();
        }
    }

    /** Makes accept fail for a while; new connections still arrive for 0.4 s after SIGTERM. */
    private void failAccepts(DispatcherUnderTest dispatcher) throws InterruptedException {
        Thread.sleep(draw((int) MAX_ACCEPT_FAULT_DELAY_MS));
        List<Errno> errors = ERRORS.get(SystemCallFault.ACCEPT);
        dispatcher.faults.enable(SystemCallFault.ACCEPT, errors.get(draw(errors.size())));
        Thread.sleep(MAX_ACCEPT_FAULT_MS / 2 + draw((int) MAX_ACCEPT_FAULT_MS / 2));
        dispatcher.faults.disable(SystemCallFault.ACCEPT);
    }

    /** Kills a process without warning and restarts it after {@code downtimeMs}. */
    private void crash(DispatcherUnderTest dispatcher, long downtimeMs) throws IOException, InterruptedException {
        if (!dispatcher.lifecycleLock.tryLock()) {
            return;
        }
        try {
            if (dispatcher.alive()) {
                testBed.loadBalancer.removeAt(dispatcher, testBed.history.now() + testBed.scenario.dispatchers().failureDetectionUs());
                dispatcher.kill();
                dispatcher.awaitExit(DispatcherUnderTest.TIMEOUT_S);
                Thread.sleep(downtimeMs);
                testBed.restart(dispatcher);
            }
        } finally {
            dispatcher.lifecycleLock.unlock();
        }
    }

    private void openIdleConnections(DispatcherUnderTest dispatcher) {
        testBed.history.add(What.FAULT, "crowd>" + dispatcher.name, "idle clients");
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < Math.min(MAX_IDLE_CONNECTIONS, testBed.scenario.dispatchers().sockets()); i++) {
            Socket s = new Socket();
            try {
                s.connect(dispatcher.listenAddress, CONNECT_TIMEOUT_MS);
                idle.add(s);
            } catch (IOException e) {
                break;
            }
        }
        idleConnections.put(dispatcher, idle);
    }

    private void closeIdleConnections(DispatcherUnderTest dispatcher) throws IOException {
        for (Socket s : idleConnections.getOrDefault(dispatcher, List.of())) {
            s.close();
        }
        testBed.history.add(What.FAULT, "crowd>" + dispatcher.name, "none");
    }
}
