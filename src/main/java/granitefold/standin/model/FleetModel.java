package granitefold.standin.model;

import granitefold.Dispatcher.Limits;
import granitefold.Dispatcher.Prices;
import granitefold.Dispatcher.Rules;
import granitefold.Dispatcher.Settings;
import granitefold.Dispatcher.State;
import granitefold.Dispatcher.Worker;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.DoubleStream;

/** Simulates a fleet through a burst of requests. */
final class FleetModel {
    private static final long SECOND_US = 1_000_000, START_US = 1_000 * SECOND_US, LENGTH_US = 20 * SECOND_US;
    private static final long BURST_FROM_US = 5 * SECOND_US, BURST_UNTIL_US = 15 * SECOND_US;
    private static final long MIN_GOSSIP_DELAY_US = 2_300, MAX_GOSSIP_DELAY_US = 31_000, TICK_US = 1_000;
    private static final int MIN_WORKERS = 6;
    private static final double WORKERS_PER_DISPATCHER = 0.6, TRAFFIC_SPREAD = 0.8;
    private static final Rules RULES = new Rules(3_000_000, 16_000, 0.4, 6_000_000, 3, 2_000_000, 10_000_000);
    private static final Prices PRICES = new Prices(0, 0, 15_000_000);

    private final FleetScenario scenario;
    private final SplittableRandom random;
    private final VirtualTime time = new VirtualTime(START_US);
    private final Map<Long, ModelWorker> workers = new LinkedHashMap<>();
    private final List<ModelDispatcher> dispatchers = new ArrayList<>();
    private double worthRequested;
    private double worthServed;
    private long attempts;
    private long servedLate;

    private FleetModel(FleetScenario scenario) {
        this.scenario = scenario;
        random = new SplittableRandom(scenario.seed());
    }

    static FleetResult run(FleetScenario scenario) {
        return new FleetModel(scenario).run();
    }

    private FleetResult run() {
        int count = Math.max(MIN_WORKERS, (int) (WORKERS_PER_DISPATCHER * scenario.dispatchers()));
        for (int i = 0; i < count; i++) {
            // random, as in production, where worker ids are hashes: consecutive workers have unrelated ids
            long id = random.nextLong(1L << 42);
            workers.put(id, new ModelWorker(id, i % 2, time, random));
        }
        double capacityPerS = workers.values().stream().mapToDouble(w -> w.speed * ModelWorker.SLOTS).sum() * SECOND_US / Workload.meanWorkUs();
        for (int i = 0; i < scenario.dispatchers(); i++) {
            dispatchers.add(new ModelDispatcher(this, time, i, settings(i, capacityPerS), random.nextLong()));
        }
        List<Worker> listed = workers.values().stream().map(w -> new Worker(w.id, 1, State.READY, 0, 0, 0, w.kind)).toList();
        dispatchers.forEach(d -> d.start(listed));
        startTraffic(scenario.load() * capacityPerS);
        time.run(LENGTH_US);
        double[] starvedS = dispatchers.stream().mapToDouble(ModelDispatcher::longestStarvationS).toArray();
        return new FleetResult(starvedS, worthServed / worthRequested, (double) servedLate / Math.max(1, attempts));
    }

    private Settings settings(int me, double capacityPerS) {
        Limits limits = new Limits(4, false, true, scenario.gossip(), false, 2 * SECOND_US);
        return new Settings(Workload.classes(), Workload.tenants(capacityPerS), me, scenario.dispatchers(), 0, false, true, 0, TICK_US, limits,
                RULES, PRICES);
    }

    /** Splits the traffic unevenly: some dispatchers get several times the mean. */
    private void startTraffic(double ratePerS) {
        double[] weights = dispatchers.stream().mapToDouble(d -> Math.exp(TRAFFIC_SPREAD * random.nextGaussian())).toArray();
        double totalWeight = DoubleStream.of(weights).sum();
        for (int i = 0; i < weights.length; i++) {
            scheduleArrival(dispatchers.get(i), ratePerS * weights[i] / totalWeight);
        }
    }

    private void scheduleArrival(ModelDispatcher dispatcher, double ratePerS) {
        boolean burst = time.sinceStartUs() >= BURST_FROM_US && time.sinceStartUs() < BURST_UNTIL_US;
        double currentRatePerS = burst ? ratePerS * scenario.burst() : ratePerS;
        time.after((long) (random.nextExponential() * SECOND_US / currentRatePerS), () -> {
            ClientRequest request = Workload.next(random, time.nowUs());
            worthRequested += request.worth;
            dispatcher.request(request);
            scheduleArrival(dispatcher, ratePerS);
        });
    }

    RandomGenerator random() {
        return random;
    }

    void send(long worker, ModelAttempt attempt) {
        attempts++;
        time.after(ModelWorker.NETWORK_US, () -> workers.get(worker).submit(attempt));
    }

    void served(ClientRequest request) {
        if (time.nowUs() <= request.onTimeDeadlineUs) {
            worthServed += request.worth;
        } else {
            servedLate++;
        }
    }

    void sendGossip(int from, int to, byte[] message) {
        time.after(random.nextLong(MIN_GOSSIP_DELAY_US, MAX_GOSSIP_DELAY_US), () -> dispatchers.get(to).messageReceived(from, message));
    }
}
