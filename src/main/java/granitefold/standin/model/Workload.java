package granitefold.standin.model;

import granitefold.Dispatcher;
import granitefold.Dispatcher.Effect;
import granitefold.Dispatcher.Group;
import granitefold.Dispatcher.JobClass;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/** The requests of clients: three job classes of different work and urgency, and tenants of which one exceeds its share. */
final class Workload {
    private static final double WORK_STRETCH = 2, WORK_SPREAD = 0.8, HEAVY_TENANT_SHARE = 0.4, QUOTA_SHARE_OF_CAPACITY = 0.85;
    private static final long DEDUPLICATION_WINDOW_US = 12_000_000;
    private static final int TENANTS = 4;

    private record Kind(double share, double workUs, double worth, long onTimeUs, long deadlineUs, Effect effect) { }

    private static final List<Kind> KINDS = List.of(
            new Kind(0.38, 150_000, 1, 300_000, 5_000_000, Effect.SAFE),
            new Kind(0.33, 900_000, 3, 500_000, 12_000_000, Effect.SAFE),
            new Kind(0.29, 600_000, 2, 750_000, 7_500_000, Effect.KEYED));

    private Workload() { }

    static double meanWorkUs() {
        return KINDS.stream().mapToDouble(k -> k.share() * k.workUs()).sum();
    }

    static List<JobClass> classes() {
        List<JobClass> classes = new ArrayList<>();
        for (Kind k : KINDS) {
            classes.add(new JobClass(k.effect(), Group.ALL, DEDUPLICATION_WINDOW_US, k.onTimeUs(), k.deadlineUs(), WORK_STRETCH, -1, k.worth(), 0));
        }
        return classes;
    }

    static List<Dispatcher.Tenant> tenants(double capacityPerS) {
        return Collections.nCopies(TENANTS, new Dispatcher.Tenant(1.0 / TENANTS, QUOTA_SHARE_OF_CAPACITY * capacityPerS / TENANTS));
    }

    static ClientRequest next(RandomGenerator random, long nowUs) {
        double remaining = random.nextDouble();
        int jobClass = 0;
        while (jobClass < KINDS.size() - 1 && remaining >= KINDS.get(jobClass).share()) {
            remaining -= KINDS.get(jobClass).share();
            jobClass++;
        }
        Kind kind = KINDS.get(jobClass);
        int tenant = random.nextDouble() < HEAVY_TENANT_SHARE ? 0 : random.nextInt(TENANTS);
        double workUs = kind.workUs() * Math.exp(WORK_SPREAD * random.nextGaussian() - WORK_SPREAD * WORK_SPREAD / 2);
        long onTimeUs = kind.onTimeUs() + (long) (WORK_STRETCH * workUs);
        return new ClientRequest(jobClass, tenant, workUs, kind.worth(), nowUs + onTimeUs, nowUs + kind.deadlineUs());
    }
}
