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

/** What is done to a dispatcher's process from below and outside: system calls, pauses, planned ends with a kill, idle crowds. */
final class ProcessFaults {
    /** The page's bound of how long a process may be held up. */
    private static final long HELD_MS = 150;
    private static final int HOUR_S = 3600;
    private static final long ACCEPTS_FAIL_FROM_MS = 400, ACCEPTS_FAIL_MS = 300;
    private static final double ALWAYS = 100;
    private static final int CROWD = 400, CONNECT_MS = 200;
    private static final String[] SERIES = {"HUP", "TERM", "HUP", "INT", "TERM", "HUP"};
    private static final long SERIES_STEP_MS = 120;

    private static final Map<String, SystemCallFault> CALLS = Map.ofEntries(
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

    private final Ground ground;
    private final Map<Member, List<Socket>> crowds = new java.util.concurrent.ConcurrentHashMap<>();
    private final Random random;

    ProcessFaults(Ground ground) {
        this.ground = ground;
        random = new Random(ground.seed);
    }

    static boolean knows(String action) {
        return CALLS.containsKey(action) || List.of("hold", "release", "crash", "crowd", WRITES_HELD).contains(action);
    }

    /** {@code amount}: of system calls how many in a hundred, of pauses the milliseconds. */
    void begin(String action, Member m, double amount) throws IOException, InterruptedException {
        switch (action) {
            case "hold" -> hold(m, amount > 0 ? (long) amount : HELD_MS);
            case "release" -> release(m);
            case "crash" -> crash(m, (long) amount);
            case "crowd" -> crowd(m);
            case WRITES_HELD -> m.faults.enable(SystemCallFault.HELD_WRITE, (int) amount, (int) HELD_MS);
            default -> call(CALLS.get(action), m, (int) (amount > 0 ? amount : ALWAYS));
        }
    }

    void end(String action, Member m) throws IOException {
        if (action.equals("crowd")) {
            disperse(m);
        } else if (action.equals(WRITES_HELD)) {
            m.faults.disable(SystemCallFault.HELD_WRITE);
        } else if (CALLS.containsKey(action)) {
            m.faults.disable(CALLS.get(action));
        }
    }

    private synchronized int draw(int below) {
        return random.nextInt(below);
    }

    private void call(SystemCallFault fault, Member m, int percent) {
        List<Errno> errors = ERRORS.get(fault);
        int value = errors != null ? errors.get(draw(errors.size())).number() : fault == SystemCallFault.WALL_CLOCK
                ? (draw(2) == 0 ? 1 : -1) * (1 + draw(HOUR_S)) : 0;
        m.faults.enable(fault, percent, value);
    }

    /** Stands still for a moment that the page allows: it excuses nothing. */
    private static void hold(Member m, long ms) throws IOException, InterruptedException {
        Member.Life life = m.life();
        if (life == null || !life.process.isAlive()) {
            return;
        }
        m.quietSignal(life, "STOP");
        Thread.sleep(Math.min(HELD_MS, ms));
        m.quietSignal(life, "CONT");
    }

    /** Told to end, with signals in series and pauses, killed when the platform may, and started anew. */
    private void release(Member m) throws IOException, InterruptedException {
        if (!m.lifeCycle.tryLock()) {
            return;
        }
        try {
            if (!m.alive()) {
                return;
            }
            long told = System.nanoTime();
            ground.front.outAt(m, ground.history.now() + Front.TOLD_US);
            boolean heldFirst = draw(2) == 0;
            if (heldFirst) {
                m.quietSignal(m.life(), "STOP");
            }
            m.terminate();
            if (heldFirst) {
                Thread.sleep(draw((int) HELD_MS));
                m.quietSignal(m.life(), "CONT");
            }
            if (draw(2) == 0) {
                failAccepts(m);
            }
            if (draw(2) == 0) {
                for (String signal : SERIES) {
                    m.quietSignal(m.life(), signal);
                    Thread.sleep(draw((int) SERIES_STEP_MS));
                }
            }
            long killAt = told + TimeUnit.MICROSECONDS.toNanos(ground.scenario.killedAfterUs());
            long holdAt = killAt - TimeUnit.MILLISECONDS.toNanos(HELD_MS + 100 + draw(500));
            if (draw(2) == 0 && holdAt - System.nanoTime() > 0 && !m.awaitExitUntil(holdAt)) {
                hold(m, draw((int) HELD_MS));
            }
            if (!m.awaitExitUntil(killAt)) {
                m.killAfterItsTime();
            }
            m.awaitExit(Member.PATIENCE_S);
            ground.restart(m);
        } finally {
            m.lifeCycle.unlock();
        }
    }

    /** New connections still come for 0.4 s after the word to end: for a while they cannot be accepted. */
    private void failAccepts(Member m) throws InterruptedException {
        Thread.sleep(draw((int) ACCEPTS_FAIL_FROM_MS));
        List<Errno> errors = ERRORS.get(SystemCallFault.ACCEPT);
        m.faults.enable(SystemCallFault.ACCEPT, errors.get(draw(errors.size())));
        Thread.sleep(ACCEPTS_FAIL_MS / 2 + draw((int) ACCEPTS_FAIL_MS / 2));
        m.faults.disable(SystemCallFault.ACCEPT);
    }

    /** Killed without a word, and started anew after a while. */
    private void crash(Member m, long awayMs) throws IOException, InterruptedException {
        if (!m.lifeCycle.tryLock()) {
            return;
        }
        try {
            if (m.alive()) {
                ground.front.outAt(m, ground.history.now() + ground.scenario.dispatchers().noticeUs());
                m.kill();
                m.awaitExit(Member.PATIENCE_S);
                Thread.sleep(awayMs);
                ground.restart(m);
            }
        } finally {
            m.lifeCycle.unlock();
        }
    }

    private void crowd(Member m) {
        ground.history.add(What.FAULT, "crowd>" + m.name, "idle clients");
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < Math.min(CROWD, ground.scenario.dispatchers().sockets()); i++) {
            Socket s = new Socket();
            try {
                s.connect(m.listen, CONNECT_MS);
                idle.add(s);
            } catch (IOException e) {
                break;
            }
        }
        crowds.put(m, idle);
    }

    private void disperse(Member m) throws IOException {
        for (Socket s : crowds.getOrDefault(m, List.of())) {
            s.close();
        }
        ground.history.add(What.FAULT, "crowd>" + m.name, "none");
    }
}
