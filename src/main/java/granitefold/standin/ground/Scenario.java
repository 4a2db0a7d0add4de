package granitefold.standin.ground;

import granitefold.operator.InvalidFileException;
import granitefold.operator.HoconFile;
import granitefold.operator.ConfigSection;
import granitefold.standin.history.RuleTerms;
import granitefold.standin.world.WorkerSpec;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An immutable test scenario, read from HOCON and validated.
 *
 * @param about a description in one sentence
 * @param lengthUs the duration of the load
 * @param steps the steps of the fault script, in the order of the file
 */
public record Scenario(String name, String about, long lengthUs, Dispatchers dispatchers, Workers workers, Load load,
        Map<String, JobClass> classes, Map<String, Tenant> tenants, List<Step> steps, RandomSteps randomSteps) {
    private static final long MINUTE_MS = 60_000;
    static final int MAX_DISPATCHERS = 24, MAX_WORKERS = 40;

    /**
     * The dispatchers under test.
     *
     * @param failureDetectionUs how long the load balancer goes on sending connections to a failed dispatcher
     * @param operator the text of their operator files
     * @param persistentState each has a state folder that outlives its processes
     * @param secondAddress each has a second address, so that another version can be started beside it
     * @param gossip they may exchange gossip datagrams
     * @param hasKeeper a keeper starts each of them and changes its version
     * @param sockets limit of open descriptors of each
     * @param faults the fault library is preloaded into each, so that faults can be injected into system calls
     */
    public record Dispatchers(int count, int memoryMb, long failureDetectionUs, String operator, boolean persistentState, boolean secondAddress,
            boolean gossip, boolean hasKeeper, int sockets, boolean faults) { }

    /** The workers, identical except for their speed. {@code spread}: the largest relative deviation of the speed from the mean. */
    public record Workers(int count, WorkerSpec spec, double spread) { }

    /**
     * The clients' load, an open-loop arrival process.
     *
     * @param retries how often a client retries a rejected request
     * @param impatientShare share of requests whose clients disconnect early
     * @param retryAfterShare share of requests whose clients honour Retry-After
     * @param churnShare share of answers after which a client closes its connection
     */
    public record Load(double requestsPerS, int retries, double impatientShare, double retryAfterShare, double churnShare) { }

    /** A job class; times are in microseconds. {@code spread}: the coefficient of variation of the work. */
    public record JobClass(double share, double workUs, double spread, int slots, RuleTerms.Effect effect, long onTimeUs, long deadlineUs,
            double stretch, double value, long keyWindowUs) { }

    /** A tenant: its share of the quota, and its load as a multiple of that share. */
    public record Tenant(double share, double usage) { }

    /** A step of the fault script, performed {@code atUs} after the start of the load or, if it has one, after its trigger. */
    public record Step(String action, long atUs, String trigger, List<String> targets, List<List<String>> groups, List<String> edges,
            double amount, long durationUs) { }

    /** Additional steps that are drawn at random from the seed. */
    public record RandomSteps(int count, long fromUs, long untilUs, List<String> actions, long durationUs) { }

    /** The known actions of steps. */
    static final List<String> ACTIONS = List.of("kill", "kill-keeper", "stop", "continue", "end", "start", "restart", "reload", "cut", "cut-there", "cut-back",
            "delay", "lose", "drip", "refuse", "reset", "heal", "slow", "hang", "stick", "fail", "truncate", "break", "well", "drain",
            "remove", "replace", "die", "discovery-down", "discovery-up", "hush", "rate", "tenant-rate", "state-lost", "state-cut", "state-aged",
            "state-swapped", "state-kept", "state-back", "hold", "release", "crash", "crowd", "half-requests", "flood", "accept-fails", "socket-fails", "connect-fails",
            "waits-interrupted", "reads-short", "writes-short", "reads-broken", "storage-fails", "syncs-fail", "clock-stepped", "writes-held", "calls-interrupted");

    /** Reads and validates a file. */
    public static Scenario read(Path file) throws InvalidFileException {
        String name = file.getFileName().toString().replaceFirst("\\.conf$", "");
        return HoconFile.read(file, s -> read(name, s)).value();
    }

    /** Reads and validates a text. */
    public static Scenario read(String name, String text) throws InvalidFileException {
        return HoconFile.read(name + ".conf", text, s -> read(name, s)).value();
    }

    private static Scenario read(String name, ConfigSection root) {
        ConfigSection dispatchers = root.section("dispatchers");
        ConfigSection workers = root.section("cocineros");
        ConfigSection load = root.section("load");
        ConfigSection randomSteps = root.section("drawn");
        Map<String, JobClass> classes = new LinkedHashMap<>();
        root.named("classes").forEach((key, s) -> classes.put(key, jobClass(s)));
        if (classes.isEmpty()) {
            classes.put("ficha", new JobClass(1, 40_000, 0.8, 1, RuleTerms.Effect.SAFE, 300_000, 5_000_000, 2, 1, 12_000_000));
        }
        Map<String, Tenant> tenants = new LinkedHashMap<>();
        root.named("tenants").forEach((key, s) -> {
            tenants.put(key, new Tenant(s.number("share", 1, 0, 1), s.number("usage", 1, 0, 100)));
            s.reportUnknownKeys();
        });
        if (tenants.isEmpty()) {
            tenants.put("acme", new Tenant(1, 1));
        }
        double meanWork = classes.values().stream().mapToDouble(j -> j.share * j.workUs * j.slots).sum()
                / classes.values().stream().mapToDouble(JobClass::share).sum();
        Scenario s = new Scenario(name, root.string("about", "", "a sentence", t -> true), root.durationUs("for", 10_000_000, 500, 60 * MINUTE_MS),
                new Dispatchers(dispatchers.integer("count", 2, 1, MAX_DISPATCHERS), dispatchers.integer("memory-mb", 160, 64, 1024),
                        dispatchers.durationUs("front-notice", 1_500_000, 0, MINUTE_MS),
                        dispatchers.string("operator", "", "the text of an operators' file", t -> true),
                        dispatchers.bool("state", false), dispatchers.bool("beside", false), dispatchers.bool("talk", true),
                        dispatchers.bool("kept", false),
                        dispatchers.integer("sockets", 1024, 64, 65_536), dispatchers.bool("faults", false)),
                workers(workers, meanWork),
                new Load(load.number("rate", 60, 0.1, 5000), load.integer("retries", 2, 0, 10), load.number("impatient", 0, 0, 1),
                        load.number("honour", 0.8, 0, 1), load.number("churn", 0.05, 0, 1)),
                classes, tenants, steps(root), randomSteps(randomSteps));
        for (ConfigSection section : List.of(dispatchers, workers, load, randomSteps, root)) {
            section.reportUnknownKeys();
        }
        return s;
    }

    private static Workers workers(ConfigSection section, double meanWork) {
        Workers found = new Workers(section.integer("count", 4, 1, MAX_WORKERS), new WorkerSpec(section.integer("slots", 6, 1, 64),
                section.number("speed", 1, 0.01, 100),
                section.integer("queue", 40, 0, 10_000), section.number("cold-from", 0.4, 0.01, 1),
                        section.durationUs("cold-for", 6_000_000, 1, MINUTE_MS),
                section.number("falls-at", 3, 1, 1000), section.durationUs("falls-within", 2_000_000, 100, MINUTE_MS), meanWork,
                        section.integer("keeps", 0, 0, 10_000),
                section.durationUs("fetch", 0, 0, MINUTE_MS)), section.number("spread", 0, 0, 0.9));
        return found;
    }

    private static JobClass jobClass(ConfigSection section) {
        JobClass jobClass = new JobClass(section.number("share", 1, 0, 1), section.durationUs("work", 40_000, 0, MINUTE_MS),
                section.number("spread", 0.8, 0, 5),
                section.integer("slots", 1, 1, 64), RuleTerms.Effect.valueOf(section.choice("effect", "safe", "safe", "keyed", "unsafe")
                        .toUpperCase(java.util.Locale.ROOT)),
                section.durationUs("on-time", 300_000, 1, MINUTE_MS), section.durationUs("deadline", 5_000_000, 10, 5 * MINUTE_MS),
                        section.number("stretch", 2, 0, 100),
                section.number("worth", 1, 0, 1000), section.durationUs("window", 12_000_000, 100, 5 * MINUTE_MS));
        section.reportUnknownKeys();
        return jobClass;
    }

    private static List<Step> steps(ConfigSection root) {
        List<Step> steps = new ArrayList<>();
        for (ConfigSection section : root.sections("steps")) {
            List<List<String>> between = new ArrayList<>();
            for (String group : section.strings("between", "two groups of names, each as \"n0 n1\"", t -> true)) {
                between.add(List.of(group.trim().split("[ ,]+")));
            }
            Step step = new Step(section.string("do", "", "one of " + String.join(", ", ACTIONS), ACTIONS::contains),
                    section.durationUs("at", 0, 0, 60 * MINUTE_MS), section.string("when", "", "ready NAME, exited NAME or served COUNT",
                            t -> t.matches("(ready|exited) \\S+|served \\d+")),
                    section.strings("to", "names of dispatchers, workers or tenants", t -> t.matches("\\S+")), between,
                    section.strings("edges", "client, peer, discovery, sibling, control",
                            t -> List.of("client", "peer", "discovery", "sibling", "control").contains(t)),
                    section.number("amount", 0, 0, 1e9), section.durationUs("lasts", 0, 0, 60 * MINUTE_MS));
            if (step.action.isEmpty()) {
                section.reject("do", "a step needs an action");
            }
            if (!between.isEmpty() && between.size() != 2) {
                section.reject("between", "takes two groups");
            }
            section.reportUnknownKeys();
            steps.add(step);
        }
        return steps;
    }

    private static RandomSteps randomSteps(ConfigSection section) {
        return new RandomSteps(section.integer("count", 0, 0, 1000), section.durationUs("from", 2_000_000, 0, 60 * MINUTE_MS),
                section.durationUs("until", 6_000_000, 0, 60 * MINUTE_MS),
                section.strings("of", "one of " + String.join(", ", ACTIONS), ACTIONS::contains),
                        section.durationUs("lasts", 1_000_000, 0, 60 * MINUTE_MS));
    }

    /** Returns the dispatchers' names. */
    public List<String> dispatcherNames() {
        return java.util.stream.IntStream.range(0, dispatchers.count).mapToObj(i -> "n" + i).toList();
    }

    /** Returns the capacity of all workers after slow start, in jobs of mean work per second. */
    public double capacityPerS() {
        return workers.count * workers.spec.slots() * workers.spec.speed() * 1e6 / workers.spec.meanWorkUs();
    }

    /** Returns the terms by which the rules are checked; {@code slackMs}: see {@link RuleTerms}. */
    public RuleTerms terms(long slackMs) {
        Map<String, RuleTerms.JobClass> rules = new LinkedHashMap<>();
        classes.forEach((key, c) -> rules.put(key, new RuleTerms.JobClass(c.effect, c.keyWindowUs / 1000, c.deadlineUs / 1000)));
        Map<String, Double> quotas = new LinkedHashMap<>();
        tenants.forEach((key, t) -> quotas.put(key, t.share * capacityPerS()));
        return new RuleTerms(rules, quotas, DRAIN_GRACE_MS, slackMs, true, !dispatchers.hasKeeper, dispatchers.faults);
    }

    static final long DRAIN_GRACE_MS = 3000;
    private static final long MAX_KILL_DEADLINE_US = 3_000_000, KILL_GRACE_US = 700_000;

    /** Returns the shortest time after SIGTERM at which the platform may kill a process. */
    long earliestKillUs() {
        return Math.min(MAX_KILL_DEADLINE_US, classes.values().stream().mapToLong(JobClass::deadlineUs).max().orElse(0)) + KILL_GRACE_US;
    }
}
