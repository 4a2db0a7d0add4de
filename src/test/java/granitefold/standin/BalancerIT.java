package granitefold.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks with real dispatchers behind the stand-in balancer that a drain under load loses no request, for each kind of check. */
public class BalancerIT {
    private static final int REQUESTS = 5_200;
    private static final double PER_S = 700;
    private static final long WORK_US = 3_000, MAX_DRAIN_MS = 3_000;

    @DataProvider
    public Object[][] checkRules() {
        return new Object[][] {{CheckRules.AGENT}, {CheckRules.HTTP_404}, {CheckRules.ENVOY}, {CheckRules.CLOUD}};
    }

    /** The four runs send over 20,000 requests in total. */
    @Test(dataProvider = "checkRules")
    public void aDrainUnderLoadEndsNewRequestsAndLosesNone(CheckRules rules) throws Exception {
        try (Fleet fleet = new Fleet(4, 8).startDispatchers(3, "availability.slow-start = 0ms\navailability.slow-start-from = 100\n"
                + "clients.envoy-headers = true\n"); Balancer balancer = fleet.balancer(rules)) {
            Experiment.Result result = Experiment.drain(fleet, balancer, PER_S, WORK_US, REQUESTS);
            assertTrue(result.endedMs() <= MAX_DRAIN_MS, rules.name() + ": new requests were sent for another " + result.endedMs() + " ms");
            assertEquals(result.load().count(Balancer.Outcome.LOST), 0);
            assertEquals(result.load().count(Balancer.Outcome.FAILED), 0);
            assertEquals(result.load().count(Balancer.Outcome.SERVED) + result.load().count(Balancer.Outcome.REJECTED), REQUESTS);
            assertTrue(result.load().count(Balancer.Outcome.SERVED) > REQUESTS * 9L / 10);
            assertEquals(fleet.jobsRepeated(), 0, "no job ran twice");
            // after "ready" the dispatcher gets requests again
            String name = fleet.dispatchers.get(0).name;
            long before = balancer.sent(name);
            fleet.dispatchers.get(0).control("ready");
            OpenLoopLoad more = new OpenLoopLoad("back", balancer, 100, WORK_US).start(1_000);
            while (balancer.sent(name) == before && !more.await(0)) {
                Thread.onSpinWait();
            }
            assertTrue(balancer.sent(name) > before, rules.name() + ": no requests after ready");
            more.stop();
        }
    }
}
