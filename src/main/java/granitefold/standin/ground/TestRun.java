package granitefold.standin.ground;

import granitefold.standin.history.Checker;
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
public record TestRun(Scenario scenario, long seed, RequestStatistics statistics, List<Script.Mark> timeline, List<Violation> violations, String scriptError,
        boolean aborted, List<Entry> history, Map<String, Long> injectedFaults) {
    /** By how much a time limit may be passed: the wire's 50 ms, half a second in which an answer only earns nothing. */
    private static final long SLACK_MS = 550;

    /** A play that goes on. */
    public static final class InProgress {
        private final Ground ground;
        private final Script script;

        InProgress(Ground ground) {
            this.ground = ground;
            script = new Script(ground);
        }

        /** What there is so far. */
        public TestRun snapshot(boolean aborted) {
            List<Entry> all = ground.history.sorted();
            return new TestRun(ground.scenario, ground.seed, ground.clients.statistics, script.timeline(),
                    Checker.check(ground.scenario.terms(SLACK_MS), all), script.scriptError(), aborted, all, ground.injectedFaults());
        }
    }

    /** Whether no rule was broken and the script could be played. */
    public boolean passed() {
        return violations.isEmpty() && scriptError == null;
    }

    /** Plays a scenario from the start of its processes to their end. {@code began}: hears of the play once it is on. */
    public static TestRun run(Scenario scenario, long seed, Path jar, java.util.function.Consumer<InProgress> began)
            throws IOException, InterruptedException {
        try (Ground ground = new Ground(scenario, seed, jar)) {
            ground.start();
            InProgress running = new InProgress(ground);
            began.accept(running);
            ground.clients.begin();
            running.script.begin();
            long deadlineMs = scenario.classes().values().stream().mapToLong(Scenario.JobClass::deadlineUs).max().orElse(0) / 1000;
            long seconds = TimeUnit.MICROSECONDS.toSeconds(scenario.lengthUs())
                    + (scenario.load().retries() + 1) * TimeUnit.MILLISECONDS.toSeconds(deadlineMs + 2 * Clients.LISTENS_MS) + Member.PATIENCE_S;
            Await.until("the last client's answer", seconds, ground.clients::over, () -> "");
            running.script.join();
            ground.end();
            for (Member m : ground.members) {
                m.noteReports();
            }
            return running.snapshot(false);
        }
    }
}
