package granitefold.real;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import granitefold.standin.ground.TestRun;
import granitefold.standin.ground.Scenario;
import granitefold.standin.soak.SoakCommand;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A few plays of the soak; by hand many more are played, see docs/operate/proving-ground.md. */
public final class SoakIT {
    private static final long LENGTH_S = 8;

    @DataProvider
    public Object[][] seeds() {
        return List.of(101L, 102L, 103L, 104L).stream().map(s -> new Object[] {s}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void randomOverlappingFaultsBreakNoRule(long seed) throws Exception {
        TestRun p = TestRun.run(SoakCommand.scenario(seed, LENGTH_S), seed, Path.of("target/granitefold.jar"), r -> { });
        assertEquals(p.scriptError(), null);
        assertTrue(p.violations().isEmpty(), p.violations().toString());
        assertTrue(p.injectedFaults().values().stream().mapToLong(n -> n).sum() > 0, "no system call has failed");
    }

    @Test
    public void aSeedStandsForOnePlay() throws Exception {
        Scenario one = SoakCommand.scenario(7, LENGTH_S);
        assertEquals(SoakCommand.scenario(7, LENGTH_S), one);
        assertTrue(!SoakCommand.scenario(8, LENGTH_S).steps().equals(one.steps()), "another seed, another play");
    }
}
