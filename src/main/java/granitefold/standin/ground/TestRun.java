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
 * One run of a scenario and its results.
 *
 * @param timeline the steps performed, with their times
 * @param violations violations of rules, in the order of time
 * @param scriptError the error that stopped a step of the fault script, or null
 * @param aborted whether the run was interrupted; the results then cover the time until the interruption
 * @param injectedFaults the number of injected system call faults by kind, over all processes
 */
public record TestRun(Scenario scenario, long seed, RequestStatistics statistics, List<FaultScript.PerformedStep> timeline,
        List<Violation> violations, String scriptError, boolean aborted, List<Entry> history, Map<String, Long> injectedFaults) {
    /** Tolerance of time limits: 50 ms for transmission, and half a second in which a late answer merely has no value. */
    private static final long SLACK_MS = 550;

    /** A run that is still going on. */
    public static final class InProgress {
        private final TestBed testBed;
        private final FaultScript script;

        InProgress(TestBed testBed) {
            this.testBed = testBed;
            script = new FaultScript(testBed);
        }

        /** Returns the results so far. */
        public TestRun snapshot(boolean aborted) {
            List<Entry> all = testBed.history.sorted();
            return new TestRun(testBed.scenario, testBed.seed, testBed.loadGenerator.statistics, script.timeline(),
                    HistoryChecker.check(testBed.scenario.terms(SLACK_MS), all), script.scriptError(), aborted, all, testBed.injectedFaults());
        }
    }

    /** Returns whether no rule was violated and the fault script ran without an error. */
    public boolean passed() {
        return violations.isEmpty() && scriptError == null;
    }

    /** Runs a scenario from the start of its processes to their shutdown. {@code began} receives the run once the processes are ready. */
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
                    + (scenario.load().retries() + 1) * TimeUnit.MILLISECONDS.toSeconds(deadlineMs + 2 * LoadGenerator.LATE_ANSWER_WAIT_MS)
                    + DispatcherUnderTest.TIMEOUT_S;
            Polling.until("the last client's answer", seconds, testBed.loadGenerator::finished, () -> "");
            running.script.join();
            testBed.shutDown();
            for (DispatcherUnderTest dispatcher : testBed.fleet) {
                dispatcher.recordReportedErrors();
            }
            return running.snapshot(false);
        }
    }
}
