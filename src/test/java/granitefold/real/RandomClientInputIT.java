package granitefold.real;

import static granitefold.real.RealProgram.request;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/**
 * Clients send requests one behind the other, cut at random places with random pauses, the last one often unfinished. Whole requests are
 * answered, and who stops within one gets an error or a close in time. Other seeds: {@code -Dclient.seeds=101-150}.
 */
public final class RandomClientInputIT extends RealTest {
    private static final String SEEDS = System.getProperty("client.seeds", "1-1");
    private static final int CLIENTS = 150;
    private static final int MAX_REQUESTS = 5, MAX_PARTS = 4, MAX_PAUSE_MS = 60, MAX_WORKER_MS = 100;
    /** Less than the time that a request may take to arrive. */
    private static final int MAX_REST_MS = 1_500;
    /** The time from the last answer in which a client that has stopped within a request gets an error or a close. */
    private static final int OWED_MS = 3_000;
    private static final int ANSWER_MS = 10_000;
    private static final int FIRST_ERROR_STATUS = 400;

    /** What a client sends last. */
    private enum Tail { NOTHING, HALF, HALF_AND_REST }

    /** One client's play; {@link #call} returns what went wrong, or null. */
    private final class Play implements Callable<String> {
        private final String name;
        private final Random random;
        private final StringBuilder input = new StringBuilder();
        private final int requests;
        private final String last;
        private final Tail tail;
        private int sentOfLast;
        private Exchange client;

        Play(long seed, int number) {
            name = "client " + seed + "-" + number;
            random = new Random(seed * CLIENTS + number);
            requests = random.nextInt(MAX_REQUESTS);
            for (int i = 0; i < requests; i++) {
                input.append(nextRequest(name.replace(' ', '-') + "-" + i));
            }
            last = nextRequest(name.replace(' ', '-') + "-last");
            tail = Tail.values()[random.nextInt(Tail.values().length)];
            sentOfLast = tail == Tail.NOTHING ? 0 : 1 + random.nextInt(last.length() - 1);
            input.append(last, 0, sentOfLast);
        }

        private String nextRequest(String txn) {
            return switch (random.nextInt(5)) {
                case 0 -> "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
                case 1 -> request("/ficha", txn, "X-Remaining-Ms: 0\r\n", "soup");
                case 2 -> request("/ficha", txn, TIME, "x".repeat(1 + random.nextInt(20_000)));
                case 3 -> "POST /ficha HTTP/1.1\r\nHost: x\r\nX-Txn: " + txn + "\r\nX-Org: acme\r\n" + TIME
                        + "Transfer-Encoding: chunked\r\n\r\n" + "4\r\nsoup\r\n".repeat(1 + random.nextInt(200)) + "0\r\n\r\n";
                default -> request("/ficha", txn, TIME, "soup");
            };
        }

        @Override
        public String call() throws Exception {
            try (Exchange opened = program.client()) {
                client = opened;
                client.socket.setSoTimeout(ANSWER_MS);
                writeInParts(input.toString());
                for (int i = 0; i < requests; i++) {
                    if (client.read() == null) {
                        return name + " has " + i + " of " + requests + " answers";
                    }
                }
                return switch (tail) {
                    case NOTHING -> null;
                    case HALF -> awaitErrorOrClose();
                    case HALF_AND_REST -> finish();
                };
            } catch (IOException e) {
                return name + ": " + e;
            }
        }

        private void writeInParts(String text) throws IOException, InterruptedException {
            int from = 0;
            for (int part = random.nextInt(MAX_PARTS); part > 0 && from < text.length(); part--) {
                int to = from + random.nextInt(text.length() - from);
                client.write(text.substring(from, to));
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MS));
                from = to;
            }
            client.write(text.substring(from));
        }

        private String awaitErrorOrClose() throws IOException {
            long startNs = System.nanoTime();
            try {
                if (client.read() != null && client.lastStatus() < FIRST_ERROR_STATUS) {
                    return name + ": half a request is answered " + client.firstLine;
                }
            } catch (SocketTimeoutException e) {
                return name + ": neither error nor close" + sent();
            } catch (SocketException e) {
                // a close over unread input
            }
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
            return tookMs <= OWED_MS ? null : name + ": error or close after " + tookMs + " ms" + sent();
        }

        private String sent() {
            return " behind " + requests + " requests and " + sentOfLast + " of " + last.length() + " bytes";
        }

        private String finish() throws IOException, InterruptedException {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_REST_MS));
            client.write(last.substring(sentOfLast));
            boolean rejects = last.contains("X-Remaining-Ms: 0\r\n");
            return client.read() != null && client.lastStatus() == (rejects ? 503 : 200) ? null : name + ": " + client.firstLine + " after the rest";
        }
    }

    /** Guards against input that is held while nothing is in progress and no time limit runs. */
    @Test
    public void whereverInputIsCutWholeRequestsAreAnsweredAndHalvesEnd() throws Exception {
        start(workerA);
        workerA.serveAfter(RandomClientInputIT::pauseBriefly, "done");
        String[] range = SEEDS.split("-");
        List<String> problems = new ArrayList<>();
        for (long seed = Long.parseLong(range[0]); seed <= Long.parseLong(range[1]); seed++) {
            problems.addAll(problemsOf(seed));
        }
        assertTrue(problems.isEmpty(), String.join("\n", problems));
    }

    private List<String> problemsOf(long seed) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(CLIENTS);
        try {
            List<Future<String>> plays = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                plays.add(threads.submit(new Play(seed, i)));
            }
            List<String> problems = new ArrayList<>();
            for (Future<String> play : plays) {
                if (play.get() != null) {
                    problems.add(play.get());
                }
            }
            return problems;
        } finally {
            threads.shutdownNow();
        }
    }

    private static void pauseBriefly() {
        try {
            TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(MAX_WORKER_MS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
