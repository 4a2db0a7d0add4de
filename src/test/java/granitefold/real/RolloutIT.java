package granitefold.real;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import granitefold.standin.ground.RolloutTestBed;
import granitefold.standin.ground.RolloutTestBed.PlanParameters;
import granitefold.standin.ground.RolloutTestBed.Result;
import granitefold.standin.ground.Scenario;
import granitefold.standin.ground.PatchedJar;
import granitefold.standin.ground.PatchedJar.Patch;
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
        void run(RolloutTestBed r, Path newJar) throws Exception;
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
            new Case("a version that is no worse takes over without errors", (r, newJar) -> {
                r.writePlan("good", newJar, PlanParameters.TEST);
                r.start();
                assertDone(r.awaitResult(TIMEOUT_S));
            }, SAME_BEHAVIOUR),
            new Case("a fleet runs mixed with a later version and changes over to it", (r, newJar) -> {
                r.writePlan("later", newJar, new PlanParameters("\"2\", all", 2, 10, 90, 20, true, false, PlanParameters.TEST.tolerances()));
                r.start();
                assertDone(r.awaitResult(TIMEOUT_S));
            }, UNKNOWN_ENTRIES),
            new Case("a version that rejects one request in ten is rolled back", (r, newJar) -> {
                r.writePlan("loses", newJar, PlanParameters.TEST);
                r.start();
                assertReturned(r.awaitResult(TIMEOUT_S), "served|refused");
            }, PatchedJar.rejectShare(0.1)),
            new Case("a version that rejects a tenant is rolled back", (r, newJar) -> {
                r.writePlan("refuses", newJar, PlanParameters.TEST);
                r.start();
                assertReturned(r.awaitResult(TIMEOUT_S), "served|refused");
            }, PatchedJar.rejectTenant(1)),
            new Case("a slow version is rolled back", (r, newJar) -> {
                r.writePlan("slow", newJar, PlanParameters.TEST);
                r.start();
                assertReturned(r.awaitResult(TIMEOUT_S), "time");
            }, PatchedJar.delayAnswers(60)),
            new Case("a version that does not start is rolled back", (r, newJar) -> {
                Files.write(newJar, new byte[] {1, 2, 3});
                r.writePlan("broken", newJar, PlanParameters.TEST);
                r.start();
                assertReturned(r.awaitResult(TIMEOUT_S), "n0 to the new version");
            }),
            new Case("a version that exits after a while is rolled back", true, (r, newJar) -> {
                r.writePlan("ends", newJar, PlanParameters.TEST);
                r.start();
                assertReturned(r.awaitResult(TIMEOUT_S), "ends by themselves|does not come|did not come");
            }, PatchedJar.exitTimerField(), PatchedJar.exitAfter(4000)),
            new Case("a controller is killed repeatedly, and the rollout completes", (r, newJar) -> {
                r.writePlan("killed", newJar, PlanParameters.TEST);
                for (String line : new String[] {"CHANGING stage 1", "LOOKING stage 1", "CHANGING stage 2"}) {
                    Process p = r.start();
                    r.awaitLog(line);
                    p.destroyForcibly().waitFor();
                }
                r.start();
                assertDone(r.awaitResult(TIMEOUT_S));
            }, SAME_BEHAVIOUR),
            new Case("a second controller is refused, and keepers are killed meanwhile", (r, newJar) -> {
                r.writePlan("second", newJar, PlanParameters.TEST);
                Process first = r.start();
                r.awaitLog("LOOKING stage 1");
                Process second = r.start();
                assertNotEquals(second.waitFor(), 0);
                r.awaitLog("is held by another process");
                r.injectStep("{ do = kill-keeper, to = [n0, n1, n2, n3] }");
                assertTrue(first.isAlive());
                assertTrue(first.waitFor(TIMEOUT_S, TimeUnit.SECONDS), r.lastLines());
                assertEquals(r.status().path("state").asText(), "DONE", r.lastLines());
            }, SAME_BEHAVIOUR),
            new Case("a controller cut off from half of the dispatchers holds, and rolls back once it reaches them", (r, newJar) -> {
                // The dispatcher that the new one is compared with is cut off as well, so the observation ends by its time limit.
                r.writePlan("cut", newJar, new PlanParameters("\"1\", all", 2, 6, 30, 20, true, true, PlanParameters.TEST.tolerances()));
                r.start();
                r.awaitLog("LOOKING stage 1");
                r.injectStep("{ do = cut, between = [\"controller\", \"n2 n3\"], edges = [control] }");
                r.awaitLog("HELD");
                assertTrue(r.status().path("new").size() < 4, "unreachable dispatchers must not be changed");
                assertEquals(r.sendCommand("back"), 0);
                r.awaitLog("RETURNING");
                r.injectStep("{ do = heal, edges = [control] }");
                assertReturned(r.awaitResult(TIMEOUT_S), "operator");
            }, SAME_BEHAVIOUR),
            new Case("a version that reports ready and answers nothing is rolled back", true, (r, newJar) -> {
                r.writePlan("mute", newJar, PlanParameters.TEST);
                r.start();
                assertReturned(r.awaitResult(TIMEOUT_S), "time");
            }, PatchedJar.neverAnswer()),
            new Case("a controller is paused, a second one is refused, and the first continues", (r, newJar) -> {
                r.writePlan("stopped", newJar, PlanParameters.TEST);
                Process first = r.start();
                r.awaitLog("LOOKING stage 1");
                RealTest.signal(first, "STOP");
                Process second = r.start();
                assertNotEquals(second.waitFor(), 0);
                r.awaitLog("is held by another process");
                r.awaitServed(20 * RATE);
                RealTest.signal(first, "CONT");
                assertTrue(first.waitFor(TIMEOUT_S, TimeUnit.SECONDS), r.lastLines());
                assertEquals(r.status().path("state").asText(), "DONE", r.lastLines());
            }, SAME_BEHAVIOUR),
            new Case("discovery fails and a worker hangs in a stage, for old and new alike, and the rollout completes", (r, newJar) -> {
                r.writePlan("alike", newJar, PlanParameters.TEST);
                r.start();
                r.awaitLog("LOOKING stage 1");
                r.injectStep("{ do = discovery-down }");
                r.injectStep("{ do = hang, to = [s0] }");
                r.awaitServed(4 * RATE);
                r.injectStep("{ do = well, to = [s0] }");
                r.injectStep("{ do = discovery-up }");
                assertDone(r.awaitResult(TIMEOUT_S));
            }, SAME_BEHAVIOUR),
            new Case("all dispatchers are killed in a stage and restart unchanged, and the rollout completes", (r, newJar) -> {
                r.writePlan("blackout", newJar, PlanParameters.TEST);
                r.start();
                r.awaitLog("LOOKING stage 1");
                r.injectStep("{ do = kill, to = [n0, n1, n2, n3] }");
                assertDone(r.awaitResult(TIMEOUT_S));
            }, SAME_BEHAVIOUR),
            new Case("a version that leaks memory is rolled back", (r, newJar) -> {
                r.writePlan("leaks", newJar, new PlanParameters("\"1\", all", 2, 6, 90, 20, true, true,
                        "served = 0.05, refused = 0.06, errors = 0.06, time = 2, memory = 1.5"));
                r.start();
                assertReturned(r.awaitResult(TIMEOUT_S), "memory");
            }, PatchedJar.leakField(), PatchedJar.leakMemory(16 << 10)));

    /** Adds entries of a later version, which this one does not know, to the messages between siblings. */
    private static final Patch UNKNOWN_ENTRIES = new Patch("policy/SiblingMessage.java", "        message[length] = checksum(message, length);",
            "        for (int v : length < MAX_BYTES - 8 ? new int[] {3, 7, 8, 9} : new int[0]) {\n            length = putVarint(message, length, v);\n        }\n"
                    + "        message[length] = checksum(message, length);");

    private static void assertDone(Result r) {
        assertEquals(r.exit(), 0, r.report());
        assertEquals(r.state(), "DONE");
        assertEquals(Set.copyOf(r.labels()), Set.of("new"), r.report());
    }

    /** {@code reasons}: alternatives, separated by |, of which the verdict contains one. */
    private static void assertReturned(Result r, String reasons) {
        assertEquals(r.exit(), 1, r.report());
        assertEquals(r.state(), "RETURNED", r.report());
        assertEquals(Set.copyOf(r.labels()), Set.of("old"), r.report());
        assertTrue(Stream.of(reasons.split("\\|")).anyMatch(r.verdict()::contains), r.verdict());
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
        Case c = cases.get(number);
        Path newJar = PatchedJar.build(BUILT, folder, "version" + number, c.patches.length > 0 ? c.patches : new Patch[] {SAME_BEHAVIOUR});
        try (RolloutTestBed r = new RolloutTestBed(Scenario.read("rolling" + number, FLEET), 11 + number, BUILT)) {
            r.awaitServed(200);
            c.script.run(r, newJar);
            r.awaitServed(200);
            assertTrue(r.finish().stream().allMatch(v -> c.mayLoseRequests && v.rule() == granitefold.standin.history.Violation.Rule.LOST), r.finish().toString());
        }
    }
}
