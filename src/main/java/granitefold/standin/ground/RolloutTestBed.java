package granitefold.standin.ground;

import com.fasterxml.jackson.databind.JsonNode;
import granitefold.standin.history.HistoryChecker;
import granitefold.standin.history.Violation;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A test bed whose dispatchers have keepers, and a rollout controller process that moves them from one version to another. */
public final class RolloutTestBed implements Closeable {
    private static final long SLACK_MS = 550;

    /** Parameters of a rollout plan. {@code tolerances}: in the syntax of the plan's {@code borne}; empty for the defaults. */
    public record PlanParameters(String stages, double warmupS, double minLookS, double maxLookS, double stepS, boolean rollBack,
            boolean controls, String tolerances) {
        /** A typical plan with shorter observation periods. */
        public static final PlanParameters QUICK = new PlanParameters("\"1\", all", 2, 6, 40, 12, true, true, "");
        /**
         * For tests on a busy machine: the tolerances are wide enough that a sound version is not held for lack of answers, and far
         * below the losses of the defective versions in the tests.
         */
        public static final PlanParameters TEST = new PlanParameters("\"1\", all", 2, 6, 90, 20, true, true,
                "served = 0.05, refused = 0.06, errors = 0.06, time = 2, memory = 2");
    }

    /** Result of a rollout. {@code exit}: the controller's exit status; {@code seconds}: from its start to its end. */
    public record Result(int exit, String state, String verdict, int stage, List<String> labels, double seconds, String report) { }

    private final TestBed testBed;
    private final Path folder;
    private final Path jar;
    private final List<Process> controllers = new ArrayList<>();
    private Path plan;
    private long startedUs;

    public RolloutTestBed(Scenario scenario, long seed, Path jar) throws IOException, InterruptedException {
        this.jar = jar;
        testBed = new TestBed(scenario, seed, jar);
        folder = Files.createDirectories(testBed.folder.resolve("rollout"));
        try {
            testBed.start();
        } catch (IOException | InterruptedException | RuntimeException e) {
            testBed.close();
            throw e;
        }
        testBed.loadGenerator.start();
    }

    public long served() {
        return testBed.loadGenerator.served();
    }

    /** Waits until {@code more} further requests are served. */
    public void awaitServed(long more) throws InterruptedException {
        long wanted = served() + more;
        Polling.until(wanted + " requests served", DispatcherUnderTest.TIMEOUT_S, () -> served() >= wanted, this::lastLines);
    }

    /** Returns the microseconds since the start of the load. */
    long elapsedUs() {
        return testBed.loadGenerator.elapsedUs();
    }

    /** Waits until {@code second} seconds after the start of the load. */
    void awaitSecond(int second) throws InterruptedException {
        Polling.until("second " + second, second + DispatcherUnderTest.TIMEOUT_S, () -> elapsedUs() >= second * 1_000_000L, this::lastLines);
    }

    /** Writes the plan of a rollout to {@code newJar}; {@code name} also names the plan's folder. */
    public void writePlan(String name, Path newJar, PlanParameters parameters) throws IOException {
        StringBuilder b = new StringBuilder("name = " + name + "\nfolder = \"" + folder.resolve(name) + "\"\ndispatchers = [\n");
        for (DispatcherUnderTest dispatcher : testBed.fleet) {
            b.append("  { name = ").append(dispatcher.name).append(", keeper = \"").append(DispatcherUnderTest.format(dispatcher.controlAddress))
                    .append("\" }\n");
        }
        b.append("]\nold { label = old, jar = \"").append(jar.toAbsolutePath()).append("\" }\nnew { label = new, jar = \"")
                .append(newJar.toAbsolutePath())
                .append("\" }\nstages = [").append(parameters.stages).append("]\nlook { warm = ").append(ms(parameters.warmupS))
                .append(", least = ").append(ms(parameters.minLookS))
                .append(", most = ").append(ms(parameters.maxLookS)).append(" }\nstep = ").append(ms(parameters.stepS))
                .append("\nworse = ").append(parameters.rollBack ? "back" : "stop").append("\ncontrols = ").append(parameters.controls)
                .append("\nclasses = [").append(String.join(", ", testBed.scenario.classes().keySet())).append("]\n");
        if (!parameters.tolerances.isEmpty()) {
            b.append("borne { ").append(parameters.tolerances).append(" }\n");
        }
        plan = folder.resolve(name + ".plan");
        Files.writeString(plan, b);
    }

    private static String ms(double seconds) {
        return Math.round(seconds * 1000) + "ms";
    }

    /** Starts a controller process with the plan. */
    public Process start() throws IOException {
        startedUs = controllers.isEmpty() ? testBed.history.now() : startedUs;
        Process p = launch(folder.resolve("controller-" + controllers.size() + ".log"), "start");
        controllers.add(p);
        return p;
    }

    private Process launch(Path log, String subcommand, String... options) throws IOException {
        List<String> line = new ArrayList<>(List.of("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-Xshare:auto", "-jar", jar.toString(),
                "rollout", subcommand, plan.toString()));
        line.addAll(List.of(options));
        return new ProcessBuilder(line).redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    /** Runs a subcommand of {@code rollout} as an operator does, and returns its exit status. */
    public int sendCommand(String subcommand) throws IOException, InterruptedException {
        Process p = launch(folder.resolve("word.log"), subcommand);
        return p.waitFor();
    }

    /** Returns the output of {@code rollout status --json}. */
    public JsonNode status() throws IOException, InterruptedException {
        Path out = folder.resolve("status.log");
        launch(out, "status", "--json").waitFor();
        return DispatcherConfig.JSON.readTree(Files.readAllBytes(out));
    }

    /** Waits until the controller's log contains a text. */
    public void awaitLog(String part) throws InterruptedException {
        Path log = folder.resolve("controller-" + (controllers.size() - 1) + ".log");
        Polling.until("'" + part + "' in the controller's log", 2 * DispatcherUnderTest.TIMEOUT_S, () -> Files.readString(log).contains(part),
                this::lastLines);
    }

    public String lastLines() {
        StringBuilder b = new StringBuilder();
        try {
            for (int i = 0; i < controllers.size(); i++) {
                b.append("controller ").append(i).append(":\n").append(Files.readString(folder.resolve("controller-" + i + ".log")));
            }
        } catch (IOException e) {
            b.append(e);
        }
        testBed.fleet.forEach(m -> b.append(m.lastLines()).append('\n'));
        return b.toString();
    }

    /** Performs a scenario step immediately. */
    public void injectStep(String step) throws Exception {
        Scenario s = Scenario.read("step", "steps = [ " + step + " ]");
        new FaultScript(testBed).performNow(s.steps().get(0));
    }

    /** Waits for the controller to exit. */
    public Result awaitResult(long seconds) throws IOException, InterruptedException {
        Process p = controllers.get(controllers.size() - 1);
        if (!p.waitFor(seconds, TimeUnit.SECONDS)) {
            throw new IllegalStateException("rollout did not finish within " + seconds + " s\n" + lastLines());
        }
        double took = (testBed.history.now() - startedUs) / 1e6;
        JsonNode status = status();
        List<String> labels = new ArrayList<>();
        for (DispatcherUnderTest dispatcher : testBed.fleet) {
            labels.add(label(dispatcher));
        }
        Path report = plan.resolveSibling(plan.getFileName().toString().replace(".plan", "")).resolve("report.txt");
        return new Result(p.exitValue(), status.path("state").asText(), status.path("verdict").asText(), status.path("stage").asInt(), labels, took,
                Files.exists(report) ? Files.readString(report) : "");
    }

    /** Returns the labels of the versions that a dispatcher's processes run, by their command lines, joined with "+". */
    private String label(DispatcherUnderTest dispatcher) {
        List<String> jars = dispatcher.jars();
        return String.join("+", jars.stream().map(j -> j.equals(jar.toAbsolutePath().toString()) ? "old" : "new").toList());
    }

    /** Stops the load and the fleet, and checks the recorded history. */
    public List<Violation> finish() throws InterruptedException {
        testBed.loadGenerator.stop();
        Polling.until("the last client's answer", 2 * DispatcherUnderTest.TIMEOUT_S, testBed.loadGenerator::finished, this::lastLines);
        testBed.shutDown();
        return HistoryChecker.check(testBed.scenario.terms(SLACK_MS), testBed.history.sorted());
    }

    public RequestStatistics statistics() {
        return testBed.loadGenerator.statistics;
    }

    @Override
    public void close() throws IOException {
        for (Process p : controllers) {
            p.destroyForcibly();
            p.onExit().join();
        }
        testBed.close();
    }
}
