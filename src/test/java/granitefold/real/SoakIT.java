package granitefold.real;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import granitefold.standin.ground.Scenario;
import granitefold.standin.ground.TestRun;
import granitefold.standin.soak.SoakCommand;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A few runs of the soak test; longer series are run by hand, see docs/operate/proving-ground.md. */
public final class SoakIT {
    private static final long DURATION_S = 8;

    @DataProvider
    public Object[][] seeds() {
        return List.of(101L, 102L, 103L, 104L).stream().map(s -> new Object[] {s}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void randomOverlappingFaultsBreakNoRule(long seed) throws Exception {
        TestRun run = TestRun.run(SoakCommand.scenario(seed, DURATION_S), seed, Path.of("target/granitefold.jar"), r -> { });
        assertEquals(run.scriptError(), null);
        assertTrue(run.violations().isEmpty(), run.violations().toString());
        assertTrue(run.injectedFaults().values().stream().mapToLong(n -> n).sum() > 0, "no system call has failed");
    }

    @Test
    public void seedDeterminesTheScenario() throws Exception {
        Scenario scenario = SoakCommand.scenario(7, DURATION_S);
        assertEquals(SoakCommand.scenario(7, DURATION_S), scenario);
        assertTrue(!SoakCommand.scenario(8, DURATION_S).steps().equals(scenario.steps()), "two seeds gave the same scenario");
    }
}
