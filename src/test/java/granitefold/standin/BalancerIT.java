package granitefold.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Real dispatchers behind the stand-in balancer: a drain under load, in each protocol, loses nothing. */
public class BalancerIT {
    private static final int REQUESTS = 5_200;
    private static final double PER_S = 700;
    private static final long WORK_US = 3_000, WITHIN_MS = 3_000;

    @DataProvider
    public Object[][] protocols() {
        return new Object[][] {{CheckRules.AGENT}, {CheckRules.HTTP_404}, {CheckRules.ENVOY}, {CheckRules.CLOUD}};
    }

    /** Four times these are over 20,000 requests. */
    @Test(dataProvider = "protocols")
    public void aDrainUnderLoadEndsNewTrafficAndLosesNothing(CheckRules rules) throws Exception {
        try (Fleet fleet = new Fleet(4, 8).startDispatchers(3, "availability.slow-start = 0ms\navailability.slow-start-from = 100\n"
                + "clients.envoy-headers = true\n"); Balancer balancer = fleet.balancer(rules)) {
            Experiment.Result r = Experiment.drain(fleet, balancer, PER_S, WORK_US, REQUESTS);
            assertTrue(r.endedMs() <= WITHIN_MS, rules.name() + ": new traffic went on for " + r.endedMs() + " ms");
            assertEquals(r.load().count(Balancer.Outcome.LOST), 0);
            assertEquals(r.load().count(Balancer.Outcome.FAILED), 0);
            assertEquals(r.load().count(Balancer.Outcome.SERVED) + r.load().count(Balancer.Outcome.REJECTED), REQUESTS);
            assertTrue(r.load().count(Balancer.Outcome.SERVED) > REQUESTS * 9L / 10);
            assertEquals(fleet.jobsRepeated(), 0, "nothing ran twice");
            // and it comes back
            String name = fleet.dispatchers.get(0).name;
            long before = balancer.sent(name);
            fleet.dispatchers.get(0).control("ready");
            OpenLoopLoad more = new OpenLoopLoad("back", balancer, 100, WORK_US).begin(1_000);
            while (balancer.sent(name) == before && !more.await(0)) {
                Thread.onSpinWait();
            }
            assertTrue(balancer.sent(name) > before, rules.name() + ": traffic comes back after ready");
            more.stop();
        }
    }
}
