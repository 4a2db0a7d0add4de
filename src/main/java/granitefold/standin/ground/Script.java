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

/** Performs a scenario's steps at their times and triggers, and undoes those that last only so long. */
final class Script {
    /** Something that was done, for the report. */
    record Mark(long sinceUs, String what) { }

    private static final long LOOK_MS = 5;
    private static final double SLOW = 3, LOSS = 0.3;
    private static final long DELAY_MS = 50, DRIP = 2000;

    private final Ground ground;
    private final Disorder disorder;
    private final ProcessFaults processFaults;
    private final List<Mark> timeline = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile String scriptError;

    Script(Ground ground) {
        this.ground = ground;
        disorder = new Disorder(ground);
        processFaults = new ProcessFaults(ground);
    }

    synchronized List<Mark> timeline() {
        return List.copyOf(timeline);
    }

    /** What went wrong with the script itself, or null. */
    String scriptError() {
        return scriptError;
    }

    /** Begins with the clients. */
    void begin() {
        List<Scenario.Step> all = new ArrayList<>(ground.scenario.steps());
        all.addAll(drawn());
        for (Scenario.Step s : all) {
            Thread t = new Thread(() -> run(s), "step " + s.action());
            t.setDaemon(true);
            threads.add(t);
            t.start();
        }
    }

    /** Waits until the last step is over. */
    void join() throws InterruptedException {
        for (Thread t : threads) {
            t.join();
        }
    }

    private List<Scenario.Step> drawn() {
        Scenario.Drawn d = ground.scenario.drawn();
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(ground.seed + 2);
        List<Scenario.Step> steps = new ArrayList<>();
        for (int i = 0; i < d.count() && !d.of().isEmpty(); i++) {
            String action = d.of().get(random.nextInt(d.of().size()));
            List<String> names = Disorder.ofWorkers(action) ? ground.registry.workers().stream().map(w -> w.name).toList()
                    : ground.members.stream().map(m -> m.name).toList();
            steps.add(new Scenario.Step(action, d.fromUs() + (long) (random.nextDouble() * (d.untilUs() - d.fromUs())), "",
                    List.of(names.get(random.nextInt(names.size()))), List.of(), List.of(), 0, d.lastsUs()));
        }
        return steps;
    }

    private void run(Scenario.Step s) {
        try {
            if (!s.when().isEmpty()) {
                awaitSign(s.when());
                Thread.sleep(s.atUs() / 1000);
            } else {
                long wait = s.atUs() - ground.clients.sinceUs();
                Thread.sleep(Math.max(0, wait / 1000));
            }
            if (ground.clients.over()) {
                return;
            }
            perform(s);
            if (s.lastsUs() > 0) {
                Thread.sleep(s.lastsUs() / 1000);
                undo(s);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | RuntimeException e) {
            scriptError = s.action() + " " + s.to() + ": " + e;
        }
    }

    private void awaitSign(String when) throws InterruptedException {
        String[] words = when.split(" ");
        while (!ground.clients.over()) {
            boolean seen = switch (words[0]) {
                case "served" -> ground.clients.served() >= Long.parseLong(words[1]);
                default -> ground.history.sorted().stream().anyMatch(e -> e.what() == What.PROCESS && e.who().equals(words[1])
                        && e.atUs() > ground.clients.beganUs() && e.text().startsWith(words[0]));
            };
            if (seen) {
                return;
            }
            Thread.sleep(LOOK_MS);
        }
    }

    private synchronized void mark(String what) {
        timeline.add(new Mark(ground.clients.sinceUs(), what));
    }

    /** Performs a step at once, and does not undo it. */
    void now(Scenario.Step s) throws IOException, InterruptedException {
        perform(s);
    }

    // ---------------------------------------------------------------- actions
    private void perform(Scenario.Step s) throws IOException, InterruptedException {
        mark(s.action() + (s.to().isEmpty() ? "" : " " + String.join(" ", s.to()))
                + (s.between().isEmpty() ? "" : " between " + s.between().get(0) + " and " + s.between().get(1)));
        Fault fault = fault(s);
        if (fault != null) {
            edges(s).forEach(e -> set(e, fault));
            return;
        }
        switch (s.action()) {
            case "reset" -> edges(s).forEach(ground.relays::reset);
            case "discovery-down" -> ground.registry.setDown(true);
            case "discovery-up" -> ground.registry.setDown(false);
            case "hush" -> ground.registry.silenceOpenWatches();
            case "rate" -> ground.clients.rate(s.amount());
            case "tenant-rate" -> s.to().forEach(t -> ground.clients.tenantRate(t, s.amount()));
            default -> {
                if (ProcessFaults.knows(s.action())) {
                    for (String name : s.to()) {
                        processFaults.begin(s.action(), ground.member(name), s.amount());
                    }
                } else if (Disorder.ofWorkers(s.action())) {
                    for (String name : s.to()) {
                        Worker w = ground.worker(name);
                        if (w == null) {
                            throw new IllegalArgumentException("there is no cocinero " + name);
                        }
                        disorder.worker(s.action(), w, s.amount() > 0 ? s.amount() : SLOW);
                    }
                } else {
                    List<Member> hit = new ArrayList<>();
                    s.to().forEach(name -> hit.add(ground.member(name)));
                    disorder.members(s.action(), hit, s.amount());
                }
            }
        }
    }

    private void undo(Scenario.Step s) throws IOException, InterruptedException {
        if (ProcessFaults.knows(s.action())) {
            for (String name : s.to()) {
                processFaults.end(s.action(), ground.member(name));
            }
            return;
        }
        String back = switch (s.action()) {
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
            perform(new Scenario.Step(back, 0, "", s.to(), s.between(), s.edges(), back.endsWith("rate") ? 1 : 0, 0));
        }
    }

    private static Fault fault(Scenario.Step s) {
        double a = s.amount();
        return switch (s.action()) {
            case "cut" -> Fault.CUT;
            case "cut-there" -> Fault.CUT_FORWARD;
            case "cut-back" -> Fault.CUT_BACKWARD;
            case "refuse" -> Fault.REFUSING;
            case "delay" -> Fault.delayed((long) (a > 0 ? a : DELAY_MS), (long) (a > 0 ? a : DELAY_MS));
            case "lose" -> Fault.lossy(a > 0 ? a : LOSS, LOSS / 3, LOSS / 3);
            case "drip" -> Fault.throttled((long) (a > 0 ? a : DRIP));
            case "heal" -> Fault.NONE;
            default -> null;
        };
    }

    /** The edges that a step names: between two groups, or all that touch a name; of all kinds, or of those named. */
    private List<Edge> edges(Scenario.Step s) {
        List<Kind> kinds = s.edges().isEmpty() ? List.of(Kind.values())
                : s.edges().stream().map(k -> Kind.valueOf(k.toUpperCase(Locale.ROOT))).toList();
        Predicate<Edge> which;
        if (!s.between().isEmpty()) {
            Collection<String> a = s.between().get(0);
            Collection<String> b = s.between().get(1);
            which = e -> e.connects(a, b);
        } else {
            which = e -> s.to().isEmpty() || s.to().contains(e.from()) || s.to().contains(e.to());
        }
        return ground.edges(kinds, which);
    }

    private void set(Edge e, Fault f) {
        ground.relays.setFault(e, f);
        ground.history.add(What.FAULT, e.toString(), f.equals(Fault.NONE) ? "none" : f.toString());
    }
}
