package granitefold.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.rollout.SupervisorEvent.Exited;
import granitefold.rollout.SupervisorEvent.OrderReceived;
import granitefold.rollout.SupervisorEvent.Ready;
import granitefold.rollout.Progress.State;
import granitefold.rollout.RolloutEvent.OperatorCommand;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * The shipped machines of a controller and its keepers together, driven through every sequence of what may happen to them up to a
 * depth: orders that arrive, are lost or arrive late; processes that come up or do not, and end by themselves; controllers and keepers
 * that are killed and come back with what they kept; operators' words; a rollout of somebody else's with a later number.
 */
class RolloutSearchTest {
    private static final Version OLD = new Version("old", "/old.jar", "", ""), NEW = new Version("new", "/new.jar", "", "");
    private static final Plan PLAN = new Plan("p", List.of("a", "b"), List.of(1, 2), OLD, NEW, Margins.DEFAULTS, List.of("c"), 0, 1_000_000, 2_000_000,
            6_000_000, true, false);
    /** Seven, 162,121 worlds, take a minute: {@code -Drollout.depth=7}. */
    private static final int DEPTH = Integer.getInteger("rollout.depth", 5);

    /** The whole world of one path. A path is replayed from its beginning, since the machines cannot be copied. */
    private static final class World {
        Rollout controller = new Rollout(PLAN, 1);
        Progress kept;
        final Map<String, Supervisor> keepers = new TreeMap<>();
        final Map<String, SupervisorRecord> records = new TreeMap<>();
        /** Processes that live, by dispatcher and incarnation. */
        final Map<String, Map<Long, Version>> processes = new TreeMap<>();
        final List<RolloutAction.SendOrder> late = new ArrayList<>();
        boolean linkUp = true;
        boolean starts = true;
        long now = 1_000_000;
        int serves;

        World() {
            for (String d : PLAN.dispatchers()) {
                records.put(d, SupervisorRecord.initial(OLD));
                processes.put(d, new TreeMap<>());
                keepers.put(d, new Supervisor(new Supervisor.Options(true, 3_000_000), records.get(d)));
                keeper(d, new SupervisorEvent.Startup(false));
            }
            settle();
            take(new RolloutEvent.Startup());
        }

        void take(RolloutEvent e) {
            for (RolloutAction a : List.copyOf(controller.handle(e, now))) {
                if (a instanceof RolloutAction.Persist k) {
                    kept = k.progress();
                } else if (a instanceof RolloutAction.SendOrder g) {
                    assertTrue(kept != null && kept.order().equals(g.order()), "an order that was not kept before it was given");
                    assertTrue(g.version().equals(OLD) || kept.fresh().contains(g.dispatcher()), "a new version that nothing kept tells of");
                    if (linkUp) {
                        deliver(g);
                    } else {
                        late.add(g);
                    }
                }
            }
        }

        void deliver(RolloutAction.SendOrder g) {
            Supervisor k = keepers.get(g.dispatcher());
            if (k.isStale(g.order())) {
                take(new RolloutEvent.OrderRefused(g.dispatcher(), k.record().seen()));
            } else {
                boolean known = g.order().equals(k.record().seen());
                long lives = k.record().lives();
                keeper(g.dispatcher(), new OrderReceived(g.order(), g.version()));
                assertTrue(!known || k.record().lives() == lives, "an order was carried out twice");
            }
        }

        void keeper(String d, SupervisorEvent e) {
            for (SupervisorAction a : List.copyOf(keepers.get(d).handle(e, now))) {
                if (a instanceof SupervisorAction.Persist k) {
                    records.put(d, k.record());
                } else if (a instanceof SupervisorAction.Start s) {
                    assertTrue(processes.get(d).put(s.incarnation(), s.version()) == null, "two processes of one number");
                } else if (a instanceof SupervisorAction.Terminate s) {
                    ends(d, s.incarnation());
                } else if (a instanceof SupervisorAction.Kill s) {
                    ends(d, s.incarnation());
                }
            }
        }

        private final List<Runnable> ending = new ArrayList<>();

        private void ends(String d, long incarnation) {
            ending.add(() -> {
                if (processes.get(d).remove(incarnation) != null) {
                    keeper(d, new Exited(incarnation, "ended"));
                }
            });
        }

        /** Lets all that is under way come to its end: processes end that were told to, those that come up serve. */
        void settle() {
            for (int i = 0; i < 20; i++) {
                List<Runnable> now = List.copyOf(ending);
                ending.clear();
                now.forEach(Runnable::run);
                for (String d : keepers.keySet()) {
                    long incarnation = keepers.get(d).startingIncarnation();
                    if (incarnation > 0 && processes.get(d).containsKey(incarnation)) {
                        if (starts || processes.get(d).get(incarnation).equals(OLD)) {
                            serves++;
                            keeper(d, new Ready(incarnation));
                        } else {
                            processes.get(d).remove(incarnation);
                            keeper(d, new Exited(incarnation, "does not start"));
                        }
                    }
                }
            }
        }

        /** A second passes: the controller asks everybody it reaches and looks. */
        void second() {
            now += 1_000_000;
            keepers.keySet().forEach(d -> keeper(d, new SupervisorEvent.Tick()));
            settle();
            for (String d : PLAN.dispatchers()) {
                if (linkUp) {
                    take(new RolloutEvent.StatusReceived(d, keepers.get(d).status(new Sample(1, Map.of("c", new Sample.Counts(now / 1000, 0, 0)), 0, now / 1e6, now / 1e6, 1))));
                    settle();
                }
            }
            take(new RolloutEvent.Tick());
            settle();
        }

        void killController() {
            controller = kept == null ? new Rollout(PLAN, 1) : new Rollout(PLAN, kept);
            take(new RolloutEvent.Startup());
        }

        void killKeeper(String d) {
            SupervisorRecord r = records.get(d);
            // whoever comes back ends what is left but for the one that it kept as serving
            processes.get(d).keySet().removeIf(incarnation -> incarnation != r.serving());
            ending.clear();
            keepers.put(d, new Supervisor(new Supervisor.Options(true, 3_000_000), r));
            keeper(d, new SupervisorEvent.Startup(processes.get(d).containsKey(r.serving()) && r.serving() != 0));
        }

        void crash(String d) {
            long incarnation = keepers.get(d).servingIncarnation();
            if (incarnation > 0 && processes.get(d).remove(incarnation) != null) {
                keeper(d, new Exited(incarnation, "by itself"));
            }
        }

        /** What has to hold after each step. */
        void check(List<String> path) {
            for (String d : PLAN.dispatchers()) {
                boolean runsNew = processes.get(d).containsValue(NEW);
                boolean overtaken = controller.progress().state() == State.OVERTAKEN;
                assertTrue(!runsNew || overtaken || kept.fresh().contains(d) || kept.state() == State.RETURNED && keepers.get(d).record().wanted().equals(OLD),
                        () -> d + " runs the new version and nothing kept tells of it: " + path);
                SupervisorRecord r = keepers.get(d).record();
                assertTrue(r.done().compareTo(r.seen()) <= 0 && r.failed().compareTo(r.seen()) <= 0, () -> "done what was not seen: " + path);
            }
        }

        /** With everything in reach and working again, and operators' words where it waits for them, it comes to an end. */
        void end(List<String> path) {
            linkUp = true;
            for (RolloutAction.SendOrder g : List.copyOf(late)) {
                // what comes late, comes: it must do no harm
                deliver(g);
            }
            late.clear();
            for (int i = 0; i < 200 && !controller.progress().state().terminal(); i++) {
                State s = controller.progress().state();
                if (controller.progress().paused() || s == State.HELD && i % 20 == 10) {
                    take(new RolloutEvent.OperatorRequested(s == State.HELD && i > 100 ? OperatorCommand.BACK : OperatorCommand.RESUME));
                }
                if (s == State.HELD && i % 20 == 15) {
                    take(new RolloutEvent.OperatorRequested(OperatorCommand.PASS));
                }
                second();
                check(path);
            }
            Progress p = controller.progress();
            assertTrue(p.state().terminal(), () -> "no end: " + p + " after " + path);
            // a version that did serve and does not start again is tried again for as long as it takes
            starts = true;
            for (int i = 0; i < 30; i++) {
                now += 1_000_000;
                keepers.keySet().forEach(d -> keeper(d, new SupervisorEvent.Tick()));
                settle();
            }
            for (String d : PLAN.dispatchers()) {
                assertEquals(1, processes.get(d).size(), () -> d + " has more or less than one process at the end: " + path);
                Version runs = processes.get(d).values().iterator().next();
                if (p.state() == State.DONE) {
                    assertEquals(NEW, runs, () -> d + " after " + path);
                } else if (p.state() == State.RETURNED) {
                    assertEquals(OLD, runs, () -> d + " after " + path);
                }
            }
        }
    }

    /** All that may happen next. */
    private static final Map<String, Consumer<World>> MOVES = new TreeMap<>(Map.of(
            "second", World::second,
            "kill controller", World::killController,
            "kill keeper a", w -> w.killKeeper("a"),
            "crash a", w -> w.crash("a"),
            "crash b", w -> w.crash("b"),
            "link", w -> w.linkUp = !w.linkUp,
            "new ones start or not", w -> w.starts = !w.starts,
            "back", w -> w.take(new RolloutEvent.OperatorRequested(OperatorCommand.BACK)),
            "pause or resume", w -> w.take(new RolloutEvent.OperatorRequested(w.controller.progress().paused() ? OperatorCommand.RESUME : OperatorCommand.PAUSE)),
            "another rollout", w -> w.keeper("b", new OrderReceived(new Order(2, 1), OLD))));

    /** What tells two worlds apart, as far as what follows goes. */
    private static String look(World w) {
        StringBuilder b = new StringBuilder(w.controller.progress().toString());
        w.keepers.forEach((d, k) -> b.append(d).append(k.record()).append(k.servingIncarnation()).append(k.startingIncarnation()).append(w.processes.get(d)));
        return b.append(w.linkUp).append(w.starts).append(w.late).append(w.now).toString();
    }

    @Test
    void everySequenceKeepsItsPromisesAndEnds() {
        Set<String> seen = new HashSet<>();
        List<List<String>> paths = List.of(List.of());
        int ended = 0;
        for (int depth = 0; depth <= DEPTH; depth++) {
            List<List<String>> next = new ArrayList<>();
            for (List<String> path : paths) {
                World w = play(path);
                if (!seen.add(look(w))) {
                    continue;
                }
                w.check(path);
                for (String move : MOVES.keySet()) {
                    List<String> longer = new ArrayList<>(path);
                    longer.add(move);
                    next.add(longer);
                }
                w.end(path);
                ended++;
            }
            paths = next;
        }
        assertTrue(ended > 1_000, ended + " different worlds");
        System.out.println("rollout: " + ended + " different worlds to depth " + DEPTH);
    }

    private static World play(List<String> path) {
        World w = new World();
        for (String move : path) {
            MOVES.get(move).accept(w);
            w.settle();
            w.check(path);
        }
        return w;
    }
}
