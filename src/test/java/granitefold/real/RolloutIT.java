package granitefold.real;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import granitefold.standin.ground.PatchedJar;
import granitefold.standin.ground.PatchedJar.Patch;
import granitefold.standin.ground.RolloutTestBed;
import granitefold.standin.ground.RolloutTestBed.PlanParameters;
import granitefold.standin.ground.RolloutTestBed.Result;
import granitefold.standin.ground.Scenario;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Rollouts with a controller, keepers and dispatchers as processes, under load, with faults injected. */
public final class RolloutIT {
    private static final Path BUILT = Path.of("target/granitefold.jar");
    private static final int RATE = 240;
    private static final String FLEET = "for = 300s, dispatchers { count = 4, kept = true }, cocineros { count = 5, slots = 8 }, load.rate = " + RATE + "\n"
            + "tenants { acme { share = 0.7 }, otro { share = 0.3 } }\n";
    private static final int TIMEOUT_S = 240;
    /**
     * Numbers of the cases to run, the longest first, so that no long one starts last. Three that the simulated comparison and
     * the search cover too run only on demand, with {@code -Drollouts=11,12,14}.
     */
    private static final List<Integer> SELECTED = Stream.of(System.getProperty("rollouts", "10,13,7,3,8,9,1,2,4,0,6,5").split(","))
            .map(Integer::valueOf).toList();

    private Path folder;

    private interface Script {
        void run(RolloutTestBed testBed, Path newJar) throws Exception;
    }

    /** {@code mayLoseRequests}: whether requests that the new version accepted may be lost with it; no other loss is allowed. */
    private record Case(String description, boolean mayLoseRequests, Script script, Patch... patches) {
        Case(String description, Script script, Patch... patches) {
            this(description, false, script, patches);
        }
    }

    /** Makes a different jar of the same program. */
    private static final Patch SAME_BEHAVIOUR = new Patch("core/Phase.java", "/** The program's phases", "/** The phases");

    private final List<Case> cases = List.of(
            new Case("a version that is no worse takes over without errors", (testBed, newJar) -> {
                testBed.writePlan("good", newJar, PlanParameters.TEST);
                testBed.start();
                assertDone(testBed.awaitResult(TIMEOUT_S));
            }, SAME_BEHAVIOUR),
            new Case("a fleet runs mixed with a later version and changes over to it", (testBed, newJar) -> {
                testBed.writePlan("later", newJar, new PlanParameters("\"2\", all", 2, 10, 90, 20, true, false, PlanParameters.TEST.tolerances()));
                testBed.start();
                assertDone(testBed.awaitResult(TIMEOUT_S));
            }, UNKNOWN_ENTRIES),
            new Case("a version that rejects one request in ten is rolled back", (testBed, newJar) -> {
                testBed.writePlan("loses", newJar, PlanParameters.TEST);
                testBed.start();
                assertReturned(testBed.awaitResult(TIMEOUT_S), "served|refused");
            }, PatchedJar.rejectShare(0.1)),
            new Case("a version that rejects a tenant is rolled back", (testBed, newJar) -> {
                testBed.writePlan("refuses", newJar, PlanParameters.TEST);
                testBed.start();
                assertReturned(testBed.awaitResult(TIMEOUT_S), "served|refused");
            }, PatchedJar.rejectTenant(1)),
            new Case("a slow version is rolled back", (testBed, newJar) -> {
                testBed.writePlan("slow", newJar, PlanParameters.TEST);
                testBed.start();
                assertReturned(testBed.awaitResult(TIMEOUT_S), "time");
            }, PatchedJar.delayAnswers(60)),
            new Case("a version that does not start is rolled back", (testBed, newJar) -> {
                Files.write(newJar, new byte[] {1, 2, 3});
                testBed.writePlan("broken", newJar, PlanParameters.TEST);
                testBed.start();
                assertReturned(testBed.awaitResult(TIMEOUT_S), "n0 to the new version");
            }),
            new Case("a version that exits after a while is rolled back", true, (testBed, newJar) -> {
                testBed.writePlan("ends", newJar, PlanParameters.TEST);
                testBed.start();
                assertReturned(testBed.awaitResult(TIMEOUT_S), "ends by themselves|does not come|did not come");
            }, PatchedJar.exitTimerField(), PatchedJar.exitAfter(4000)),
            new Case("a controller is killed repeatedly, and the rollout completes", (testBed, newJar) -> {
                testBed.writePlan("killed", newJar, PlanParameters.TEST);
                for (String line : new String[] {"CHANGING stage 1", "LOOKING stage 1", "CHANGING stage 2"}) {
                    Process controller = testBed.start();
                    testBed.awaitLog(line);
                    controller.destroyForcibly().waitFor();
                }
                testBed.start();
                assertDone(testBed.awaitResult(TIMEOUT_S));
            }, SAME_BEHAVIOUR),
            new Case("a second controller is refused, and keepers are killed meanwhile", (testBed, newJar) -> {
                testBed.writePlan("second", newJar, PlanParameters.TEST);
                Process first = testBed.start();
                testBed.awaitLog("LOOKING stage 1");
                Process second = testBed.start();
                assertNotEquals(second.waitFor(), 0);
                testBed.awaitLog("is held by another process");
                testBed.injectStep("{ do = kill-keeper, to = [n0, n1, n2, n3] }");
                assertTrue(first.isAlive());
                assertTrue(first.waitFor(TIMEOUT_S, TimeUnit.SECONDS), testBed.lastLines());
                assertEquals(testBed.status().path("state").asText(), "DONE", testBed.lastLines());
            }, SAME_BEHAVIOUR),
            new Case("a controller cut off from half of the dispatchers holds, and rolls back once it reaches them", (testBed, newJar) -> {
                // The dispatcher that the new one is compared with is cut off as well, so the observation ends by its time limit.
                testBed.writePlan("cut", newJar, new PlanParameters("\"1\", all", 2, 6, 30, 20, true, true, PlanParameters.TEST.tolerances()));
                testBed.start();
                testBed.awaitLog("LOOKING stage 1");
                testBed.injectStep("{ do = cut, between = [\"controller\", \"n2 n3\"], edges = [control] }");
                testBed.awaitLog("HELD");
                assertTrue(testBed.status().path("new").size() < 4, "unreachable dispatchers must not be changed");
                assertEquals(testBed.sendCommand("back"), 0);
                testBed.awaitLog("RETURNING");
                testBed.injectStep("{ do = heal, edges = [control] }");
                assertReturned(testBed.awaitResult(TIMEOUT_S), "operator");
            }, SAME_BEHAVIOUR),
            new Case("a version that reports ready and answers nothing is rolled back", true, (testBed, newJar) -> {
                testBed.writePlan("mute", newJar, PlanParameters.TEST);
                testBed.start();
                assertReturned(testBed.awaitResult(TIMEOUT_S), "time");
            }, PatchedJar.neverAnswer()),
            new Case("a controller is paused, a second one is refused, and the first continues", (testBed, newJar) -> {
                testBed.writePlan("stopped", newJar, PlanParameters.TEST);
                Process first = testBed.start();
                testBed.awaitLog("LOOKING stage 1");
                RealTest.signal(first, "STOP");
                Process second = testBed.start();
                assertNotEquals(second.waitFor(), 0);
                testBed.awaitLog("is held by another process");
                testBed.awaitServed(20 * RATE);
                RealTest.signal(first, "CONT");
                assertTrue(first.waitFor(TIMEOUT_S, TimeUnit.SECONDS), testBed.lastLines());
                assertEquals(testBed.status().path("state").asText(), "DONE", testBed.lastLines());
            }, SAME_BEHAVIOUR),
            new Case("discovery fails and a worker hangs in a stage, for old and new alike, and the rollout completes", (testBed, newJar) -> {
                testBed.writePlan("alike", newJar, PlanParameters.TEST);
                testBed.start();
                testBed.awaitLog("LOOKING stage 1");
                testBed.injectStep("{ do = discovery-down }");
                testBed.injectStep("{ do = hang, to = [s0] }");
                testBed.awaitServed(4 * RATE);
                testBed.injectStep("{ do = well, to = [s0] }");
                testBed.injectStep("{ do = discovery-up }");
                assertDone(testBed.awaitResult(TIMEOUT_S));
            }, SAME_BEHAVIOUR),
            new Case("all dispatchers are killed in a stage and restart unchanged, and the rollout completes", (testBed, newJar) -> {
                testBed.writePlan("blackout", newJar, PlanParameters.TEST);
                testBed.start();
                testBed.awaitLog("LOOKING stage 1");
                testBed.injectStep("{ do = kill, to = [n0, n1, n2, n3] }");
                assertDone(testBed.awaitResult(TIMEOUT_S));
            }, SAME_BEHAVIOUR),
            new Case("a version that leaks memory is rolled back", (testBed, newJar) -> {
                testBed.writePlan("leaks", newJar, new PlanParameters("\"1\", all", 2, 6, 90, 20, true, true,
                        "served = 0.05, refused = 0.06, errors = 0.06, time = 2, memory = 1.5"));
                testBed.start();
                assertReturned(testBed.awaitResult(TIMEOUT_S), "memory");
            }, PatchedJar.leakField(), PatchedJar.leakMemory(16 << 10)));

    /** Adds entries of a later version, which this one does not know, to the messages between siblings. */
    private static final Patch UNKNOWN_ENTRIES = new Patch("policy/SiblingMessage.java", "        message[length] = checksum(message, length);",
            "        for (int v : length < MAX_BYTES - 8 ? new int[] {3, 7, 8, 9} : new int[0]) {\n            length = putVarint(message, length, v);\n        }\n"
                    + "        message[length] = checksum(message, length);");

    private static void assertDone(Result result) {
        assertEquals(result.exit(), 0, result.report());
        assertEquals(result.state(), "DONE");
        assertEquals(Set.copyOf(result.labels()), Set.of("new"), result.report());
    }

    /** {@code reasons}: alternatives, separated by |, of which the verdict contains one. */
    private static void assertReturned(Result result, String reasons) {
        assertEquals(result.exit(), 1, result.report());
        assertEquals(result.state(), "RETURNED", result.report());
        assertEquals(Set.copyOf(result.labels()), Set.of("old"), result.report());
        assertTrue(Stream.of(reasons.split("\\|")).anyMatch(result.verdict()::contains), result.verdict());
    }

    @BeforeClass
    public void createFolder() throws Exception {
        folder = Files.createTempDirectory("rollouts");
    }

    @AfterClass(alwaysRun = true)
    public void deleteFolder() throws Exception {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }

    @DataProvider(parallel = true)
    public Object[][] selectedCases() {
        return SELECTED.stream().map(i -> new Object[] {i, cases.get(i).description()}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "selectedCases")
    public void rolloutEndsAsExpectedWithoutLoss(int number, String description) throws Exception {
        Case testCase = cases.get(number);
        Path newJar = PatchedJar.build(BUILT, folder, "version" + number, testCase.patches.length > 0 ? testCase.patches : new Patch[] {SAME_BEHAVIOUR});
        try (RolloutTestBed testBed = new RolloutTestBed(Scenario.read("rolling" + number, FLEET), 11 + number, BUILT)) {
            testBed.awaitServed(200);
            testCase.script.run(testBed, newJar);
            testBed.awaitServed(200);
            assertTrue(testBed.finish().stream()
                    .allMatch(v -> testCase.mayLoseRequests && v.rule() == granitefold.standin.history.Violation.Rule.LOST), testBed.finish().toString());
        }
    }
}
