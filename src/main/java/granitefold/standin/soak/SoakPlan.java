package granitefold.standin.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/** Generates a soak test from its seed, as the text of a scenario; the same seed gives the same text. */
final class SoakPlan {
    private static final int DISPATCHERS = 24, MIN_WORKERS = 10, WORKERS_SPREAD = 6;
    private static final long FIRST_STEP_MS = 800, KILL_GRACE_MS = 700, MAX_KILL_DEADLINE_MS = 3_000;
    private static final long[] DEADLINES_MS = {800, 1_500, 3_000, 5_000};
    private static final int SOCKETS = 512, SOCKETS_CROWDED = 160;
    /** Half of the largest limit of the platform. */
    private static final int MEMORY_MB = 96;
    /** So many connections of hostile clients leave room for others. */
    private static final int MAX_HOSTILE_CLIENTS = 180, MAX_HOSTILE_CLIENTS_CROWDED = 40, MAX_FLOODING_CLIENTS = 16;
    private static final String[] WORKER_FAULTS = {"slow", "hang", "stick", "fail", "truncate", "break"};
    private static final String[] EDGE_FAULTS = {"cut", "cut-there", "cut-back", "delay", "drip", "refuse"};

    private final Random random;
    private final long lengthMs;
    /** From the start of a graceful shutdown to the earliest kill. */
    private final long killAfterMs;
    private final long deadlineMs;
    private final int workers;
    private final boolean crowded;
    private final boolean state;
    private final List<String> steps = new ArrayList<>();

    private SoakPlan(long seed, long lengthMs) {
        random = new Random(seed * 0x9E3779B97F4A7C15L);
        this.lengthMs = lengthMs;
        deadlineMs = DEADLINES_MS[random.nextInt(DEADLINES_MS.length)];
        killAfterMs = Math.min(MAX_KILL_DEADLINE_MS, deadlineMs) + KILL_GRACE_MS;
        workers = MIN_WORKERS + random.nextInt(WORKERS_SPREAD + 1);
        crowded = random.nextInt(3) == 0;
        state = random.nextBoolean();
    }

    /** Returns the scenario of a seed with client load for {@code lengthMs}. */
    static String text(long seed, long lengthMs) {
        return new SoakPlan(seed, lengthMs).text();
    }

    private String text() {
        releases();
        crashes();
        systemCallFaults();
        pauses();
        workerFaults();
        edgeFaults();
        discoveryFaults();
        loadPeaks();
        hostileClients();
        StringBuilder text = new StringBuilder("about = \"random, overlapping faults\"\n");
        text.append("for = ").append(lengthMs).append("ms\n");
        text.append("dispatchers { count = ").append(DISPATCHERS).append(", faults = true, front-notice = 500ms, sockets = ")
                .append(crowded ? SOCKETS_CROWDED : SOCKETS).append(", memory-mb = ").append(MEMORY_MB).append(", state = ").append(state).append(", talk = ").append(random.nextInt(3) > 0)
                .append(" }\n");
        text.append("cocineros { count = ").append(workers).append(", slots = ").append(4 + random.nextInt(4)).append(", spread = 0.3 }\n");
        text.append("load { rate = ").append(120 + random.nextInt(120)).append(", retries = 2, impatient = ")
                .append(decimal(random.nextDouble() * 0.15)).append(", churn = 0.3").append(" }\n");
        text.append("classes {\n  ficha { share = 0.5, work = 30ms, deadline = ").append(deadlineMs)
                .append("ms }\n  guardar { share = 0.3, work = 40ms, "
                + "effect = keyed, window = ").append(3 + random.nextInt(10)).append("s, on-time = 600ms, deadline = ").append(deadlineMs)
                .append("ms }\n  unico { share = 0.2, work = 50ms, effect = unsafe, on-time = 600ms, deadline = ").append(deadlineMs)
                .append("ms }\n}\n");
        text.append("tenants { acme { share = 0.6, usage = 1 }, otro { share = 0.4, usage = 1 } }\n");
        text.append("steps = [\n");
        steps.forEach(s -> text.append("  { ").append(s).append(" }\n"));
        return text.append("]\n").toString();
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }

    /** Draws the time of a step. */
    private long timeMs(long untilMs) {
        return FIRST_STEP_MS + (long) (random.nextDouble() * Math.max(1, untilMs - FIRST_STEP_MS));
    }

    private String dispatcher() {
        return "n" + random.nextInt(DISPATCHERS);
    }

    /** Draws one dispatcher, four, or half of them, with consecutive numbers. */
    private String dispatchers() {
        int count = new int[] {1, 4, DISPATCHERS / 2}[random.nextInt(3)];
        int first = random.nextInt(DISPATCHERS);
        StringBuilder names = new StringBuilder();
        for (int i = 0; i < count; i++) {
            names.append(i > 0 ? ", " : "").append('n').append((first + i) % DISPATCHERS);
        }
        return names.toString();
    }

    private String worker() {
        return "s" + random.nextInt(workers);
    }

    private void step(String action, String to, long atMs, String options) {
        steps.add("do = " + action + ", to = [" + to + "], at = " + atMs + "ms" + options);
    }

    private void lastingStep(String action, String to, double amount, long minMs, long spreadMs) {
        long lastsMs = minMs + (long) (random.nextDouble() * spreadMs);
        step(action, to, timeMs(lengthMs), ", lasts = " + lastsMs + "ms" + (amount > 0 ? ", amount = " + decimal(amount) : ""));
    }

    /** Graceful shutdowns that end in a kill at the earliest time, while there is still client load. */
    private void releases() {
        int count = DISPATCHERS / 4 + random.nextInt(DISPATCHERS / 4);
        int first = random.nextInt(DISPATCHERS);
        for (int i = 0; i < count; i++) {
            step("release", "n" + (first + i) % DISPATCHERS, timeMs(lengthMs - killAfterMs), "");
        }
    }

    private void crashes() {
        for (int i = random.nextInt(4); i > 0; i--) {
            step("crash", dispatcher(), timeMs(lengthMs - killAfterMs), ", amount = " + random.nextInt(500));
        }
    }

    /** Faults of system calls: short ones where every call fails, and longer ones where a part of the calls does. */
    private void systemCallFaults() {
        for (int i = 16 + random.nextInt(16); i > 0; i--) {
            String to = dispatchers();
            switch (random.nextInt(11)) {
                case 0 -> lastingStep("accept-fails", to, 100, 50, 250);
                case 1 -> lastingStep("accept-fails", to, 30, 300, 1200);
                case 2 -> lastingStep("socket-fails", to, 100, 50, 950);
                case 3 -> lastingStep("connect-fails", to, 50, 300, 1200);
                case 4 -> lastingStep("waits-interrupted", to, 50, 500, 2000);
                case 5 -> lastingStep("reads-short", to, 100, 500, 2000);
                case 6 -> lastingStep("writes-short", to, 100, 500, 2000);
                case 7 -> lastingStep("reads-broken", to, 5, 300, 1200);
                case 8 -> lastingStep("clock-stepped", to, 100, 200, 2000);
                case 9 -> lastingStep("calls-interrupted", to, 20, 300, 1200);
                default -> lastingStep("writes-held", to, 2, 200, 800);
            }
        }
        for (int i = state ? 4 : 0; i > 0; i--) {
            lastingStep(random.nextBoolean() ? "storage-fails" : "syncs-fail", dispatchers(), 100, 300, 3000);
        }
    }

    private void pauses() {
        for (int i = 8 + random.nextInt(8); i > 0; i--) {
            step("hold", dispatcher(), timeMs(lengthMs), ", amount = " + (20 + random.nextInt(130)));
        }
        for (int i = crowded ? 1 + random.nextInt(3) : 0; i > 0; i--) {
            lastingStep("crowd", dispatcher(), 0, 1000, 3000);
        }
    }

    private void workerFaults() {
        for (int i = 2 + random.nextInt(5); i > 0; i--) {
            lastingStep(WORKER_FAULTS[random.nextInt(WORKER_FAULTS.length)], worker(), 0, 300, 2500);
        }
        if (random.nextBoolean()) {
            // until the last graceful shutdown has ended
            long fromMs = timeMs(lengthMs / 2);
            for (int i = workers / 4 + random.nextInt(workers / 4); i > 0; i--) {
                step("hang", worker(), fromMs, ", lasts = " + (lengthMs - fromMs + killAfterMs) + "ms");
            }
        }
        for (int i = random.nextInt(3); i > 0; i--) {
            step("drain", worker(), timeMs(lengthMs), "");
        }
        for (int i = random.nextInt(3); i > 0; i--) {
            step(random.nextBoolean() ? "replace" : "die", worker(), timeMs(lengthMs), "");
        }
    }

    private void edgeFaults() {
        for (int i = 3 + random.nextInt(6); i > 0; i--) {
            String fault = EDGE_FAULTS[random.nextInt(EDGE_FAULTS.length)];
            lastingStep(fault, dispatcher(), fault.equals("delay") ? 20 + random.nextInt(300) : 0, 200, 2500);
            steps.set(steps.size() - 1, steps.get(steps.size() - 1) + ", edges = [" + (random.nextInt(3) > 0 ? "peer" : "discovery") + "]");
        }
        for (int i = random.nextInt(4); i > 0; i--) {
            step("reset", worker(), timeMs(lengthMs), ", edges = [peer]");
        }
        if (random.nextBoolean()) {
            lastingStep("lose", dispatcher(), 0.5, 500, 3000);
            steps.set(steps.size() - 1, steps.get(steps.size() - 1) + ", edges = [sibling]");
        }
    }

    private void discoveryFaults() {
        if (random.nextInt(3) == 0) {
            steps.add("do = discovery-down, at = " + timeMs(lengthMs) + "ms, lasts = " + (500 + random.nextInt(3000)) + "ms");
        }
        if (random.nextInt(3) == 0) {
            steps.add("do = hush, at = " + timeMs(lengthMs) + "ms");
        }
    }

    /** Crowds that stop half way through large requests, and clients that send requests without a pause. */
    private void hostileClients() {
        for (int i = 2 + random.nextInt(5); i > 0; i--) {
            int most = crowded ? MAX_HOSTILE_CLIENTS_CROWDED : MAX_HOSTILE_CLIENTS;
            lastingStep("half-requests", dispatcher(), most / 2 + random.nextInt(most / 2), 500, 2500);
        }
        for (int i = 1 + random.nextInt(3); i > 0; i--) {
            lastingStep("flood", dispatcher(), 1 + random.nextInt(MAX_FLOODING_CLIENTS), 300, 1500);
        }
    }

    private void loadPeaks() {
        if (random.nextBoolean()) {
            steps.add("do = rate, at = " + timeMs(lengthMs) + "ms, lasts = " + (300 + random.nextInt(1200)) + "ms, amount = "
                    + decimal(1.3 + random.nextDouble() * 0.7));
        }
    }
}
