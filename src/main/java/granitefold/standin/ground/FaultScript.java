package granitefold.standin.ground;

import granitefold.standin.edge.Edge;
import granitefold.standin.edge.Edge.Kind;
import granitefold.standin.edge.Fault;
import granitefold.standin.history.Entry.What;
import granitefold.standin.world.Worker;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Performs a scenario's steps at their times and triggers, and undoes those that have a duration. */
final class FaultScript {
    /** A performed step, for the report. */
    record PerformedStep(long elapsedUs, String what) { }

    private static final long POLL_INTERVAL_MS = 5;
    private static final double DEFAULT_SLOWDOWN = 3, DEFAULT_LOSS = 0.3;
    private static final long DEFAULT_DELAY_MS = 50, DEFAULT_DRIP_BYTES_PER_S = 2000;

    private final TestBed testBed;
    private final ScenarioActions actions;
    private final ProcessFaults processFaults;
    private final List<PerformedStep> timeline = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile String scriptError;

    FaultScript(TestBed testBed) {
        this.testBed = testBed;
        actions = new ScenarioActions(testBed);
        processFaults = new ProcessFaults(testBed);
    }

    synchronized List<PerformedStep> timeline() {
        return List.copyOf(timeline);
    }

    /** Returns the error that stopped a step, or null. */
    String scriptError() {
        return scriptError;
    }

    /** Starts the script; call together with the start of the load. */
    void start() {
        List<Scenario.Step> all = new ArrayList<>(testBed.scenario.steps());
        all.addAll(randomSteps());
        for (Scenario.Step step : all) {
            Thread t = new Thread(() -> run(step), "step " + step.action());
            t.setDaemon(true);
            threads.add(t);
            t.start();
        }
    }

    /** Waits for the end of the last step. */
    void join() throws InterruptedException {
        for (Thread t : threads) {
            t.join();
        }
    }

    private List<Scenario.Step> randomSteps() {
        Scenario.RandomSteps settings = testBed.scenario.randomSteps();
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(testBed.seed + 2);
        List<Scenario.Step> steps = new ArrayList<>();
        for (int i = 0; i < settings.count() && !settings.actions().isEmpty(); i++) {
            String action = settings.actions().get(random.nextInt(settings.actions().size()));
            List<String> names = ScenarioActions.appliesToWorkers(action) ? testBed.registry.workers().stream().map(w -> w.name).toList()
                    : testBed.fleet.stream().map(m -> m.name).toList();
            steps.add(new Scenario.Step(action, settings.fromUs() + (long) (random.nextDouble() * (settings.untilUs() - settings.fromUs())), "",
                    List.of(names.get(random.nextInt(names.size()))), List.of(), List.of(), 0, settings.durationUs()));
        }
        return steps;
    }

    private void run(Scenario.Step step) {
        try {
            if (!step.trigger().isEmpty()) {
                awaitTrigger(step.trigger());
                Thread.sleep(step.atUs() / 1000);
            } else {
                long wait = step.atUs() - testBed.loadGenerator.elapsedUs();
                Thread.sleep(Math.max(0, wait / 1000));
            }
            if (testBed.loadGenerator.finished()) {
                return;
            }
            perform(step);
            if (step.durationUs() > 0) {
                Thread.sleep(step.durationUs() / 1000);
                undo(step);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | RuntimeException e) {
            scriptError = step.action() + " " + step.targets() + ": " + e;
        }
    }

    private void awaitTrigger(String trigger) throws InterruptedException {
        String[] words = trigger.split(" ");
        while (!testBed.loadGenerator.finished()) {
            boolean seen = switch (words[0]) {
                case "served" -> testBed.loadGenerator.served() >= Long.parseLong(words[1]);
                default -> testBed.history.sorted().stream().anyMatch(e -> e.what() == What.PROCESS && e.who().equals(words[1])
                        && e.atUs() > testBed.loadGenerator.startedUs() && e.text().startsWith(words[0]));
            };
            if (seen) {
                return;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private synchronized void recordStep(String what) {
        timeline.add(new PerformedStep(testBed.loadGenerator.elapsedUs(), what));
    }

    /** Performs a step immediately and does not undo it. */
    void performNow(Scenario.Step step) throws IOException, InterruptedException {
        perform(step);
    }

    // ---------------------------------------------------------------- actions
    private void perform(Scenario.Step step) throws IOException, InterruptedException {
        recordStep(step.action() + (step.targets().isEmpty() ? "" : " " + String.join(" ", step.targets()))
                + (step.groups().isEmpty() ? "" : " between " + step.groups().get(0) + " and " + step.groups().get(1)));
        Fault fault = fault(step);
        if (fault != null) {
            edges(step).forEach(e -> set(e, fault));
            return;
        }
        switch (step.action()) {
            case "reset" -> edges(step).forEach(testBed.relays::reset);
            case "discovery-down" -> testBed.registry.setDown(true);
            case "discovery-up" -> testBed.registry.setDown(false);
            case "hush" -> testBed.registry.silenceOpenWatches();
            case "rate" -> testBed.loadGenerator.rate(step.amount());
            case "tenant-rate" -> step.targets().forEach(t -> testBed.loadGenerator.tenantRate(t, step.amount()));
            default -> {
                if (ProcessFaults.handles(step.action())) {
                    for (String name : step.targets()) {
                        processFaults.start(step.action(), testBed.dispatcher(name), step.amount());
                    }
                } else if (ScenarioActions.appliesToWorkers(step.action())) {
                    for (String name : step.targets()) {
                        Worker w = testBed.worker(name);
                        if (w == null) {
                            throw new IllegalArgumentException("unknown worker " + name);
                        }
                        actions.worker(step.action(), w, step.amount() > 0 ? step.amount() : DEFAULT_SLOWDOWN);
                    }
                } else {
                    List<DispatcherUnderTest> targets = new ArrayList<>();
                    step.targets().forEach(name -> targets.add(testBed.dispatcher(name)));
                    actions.dispatchers(step.action(), targets, step.amount());
                }
            }
        }
    }

    private void undo(Scenario.Step step) throws IOException, InterruptedException {
        if (ProcessFaults.handles(step.action())) {
            for (String name : step.targets()) {
                processFaults.stop(step.action(), testBed.dispatcher(name));
            }
            return;
        }
        String back = switch (step.action()) {
            case "cut", "cut-there", "cut-back", "delay", "lose", "drip", "refuse" -> "heal";
            case "kill", "end" -> "start";
            case "stop" -> "continue";
            case "slow", "hang", "stick", "fail", "truncate", "break" -> "well";
            case "discovery-down" -> "discovery-up";
            case "rate" -> "rate";
            case "tenant-rate" -> "tenant-rate";
            default -> null;
        };
        if (back != null) {
            perform(new Scenario.Step(back, 0, "", step.targets(), step.groups(), step.edges(), back.endsWith("rate") ? 1 : 0, 0));
        }
    }

    private static Fault fault(Scenario.Step step) {
        double a = step.amount();
        return switch (step.action()) {
            case "cut" -> Fault.CUT;
            case "cut-there" -> Fault.CUT_FORWARD;
            case "cut-back" -> Fault.CUT_BACKWARD;
            case "refuse" -> Fault.REFUSING;
            case "delay" -> Fault.delayed((long) (a > 0 ? a : DEFAULT_DELAY_MS), (long) (a > 0 ? a : DEFAULT_DELAY_MS));
            case "lose" -> Fault.lossy(a > 0 ? a : DEFAULT_LOSS, DEFAULT_LOSS / 3, DEFAULT_LOSS / 3);
            case "drip" -> Fault.throttled((long) (a > 0 ? a : DEFAULT_DRIP_BYTES_PER_S));
            case "heal" -> Fault.NONE;
            default -> null;
        };
    }

    /** Returns the edges of the step's kinds, or of all kinds, between its two groups or at any of its targets. */
    private List<Edge> edges(Scenario.Step step) {
        List<Kind> kinds = step.edges().isEmpty() ? List.of(Kind.values())
                : step.edges().stream().map(k -> Kind.valueOf(k.toUpperCase(Locale.ROOT))).toList();
        Predicate<Edge> which;
        if (!step.groups().isEmpty()) {
            Collection<String> a = step.groups().get(0);
            Collection<String> b = step.groups().get(1);
            which = e -> e.connects(a, b);
        } else {
            which = e -> step.targets().isEmpty() || step.targets().contains(e.from()) || step.targets().contains(e.to());
        }
        return testBed.edges(kinds, which);
    }

    private void set(Edge e, Fault f) {
        testBed.relays.setFault(e, f);
        testBed.history.add(What.FAULT, e.toString(), f.equals(Fault.NONE) ? "none" : f.toString());
    }
}
