package granitefold.standin.ground;

import granitefold.standin.history.HistoryChecker;
import granitefold.standin.history.Entry;
import granitefold.standin.history.Violation;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One play of a scenario and what came of it.
 *
 * @param timeline what was done, and when
 * @param violations broken rules, the first one first
 * @param scriptError what went wrong with the script itself, or null
 * @param aborted the play was broken off: figures are those up to then
 * @param injected faults in system calls, by their kind, over all processes
 */
public record TestRun(Scenario scenario, long seed, RequestStatistics statistics, List<FaultScript.PerformedStep> timeline, List<Violation> violations, String scriptError,
        boolean aborted, List<Entry> history, Map<String, Long> injectedFaults) {
    /** By how much a time limit may be passed: the wire's 50 ms, half a second in which an answer only earns nothing. */
    private static final long SLACK_MS = 550;

    /** A play that goes on. */
    public static final class InProgress {
        private final TestBed testBed;
        private final FaultScript script;

        InProgress(TestBed testBed) {
            this.testBed = testBed;
            script = new FaultScript(testBed);
        }

        /** What there is so far. */
        public TestRun snapshot(boolean aborted) {
            List<Entry> all = testBed.history.sorted();
            return new TestRun(testBed.scenario, testBed.seed, testBed.loadGenerator.statistics, script.timeline(),
                    HistoryChecker.check(testBed.scenario.terms(SLACK_MS), all), script.scriptError(), aborted, all, testBed.injectedFaults());
        }
    }

    /** Whether no rule was broken and the script could be played. */
    public boolean passed() {
        return violations.isEmpty() && scriptError == null;
    }

    /** Plays a scenario from the start of its processes to their end. {@code began}: hears of the play once it is on. */
    public static TestRun run(Scenario scenario, long seed, Path jar, java.util.function.Consumer<InProgress> began)
            throws IOException, InterruptedException {
        try (TestBed testBed = new TestBed(scenario, seed, jar)) {
            testBed.start();
            InProgress running = new InProgress(testBed);
            began.accept(running);
            testBed.loadGenerator.start();
            running.script.start();
            long deadlineMs = scenario.classes().values().stream().mapToLong(Scenario.JobClass::deadlineUs).max().orElse(0) / 1000;
            long seconds = TimeUnit.MICROSECONDS.toSeconds(scenario.lengthUs())
                    + (scenario.load().retries() + 1) * TimeUnit.MILLISECONDS.toSeconds(deadlineMs + 2 * LoadGenerator.LATE_ANSWER_WAIT_MS) + DispatcherUnderTest.TIMEOUT_S;
            Polling.until("the last client's answer", seconds, testBed.loadGenerator::finished, () -> "");
            running.script.join();
            testBed.shutDown();
            for (DispatcherUnderTest m : testBed.fleet) {
                m.recordReportedErrors();
            }
            return running.snapshot(false);
        }
    }
}
