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
 * Bounded exhaustive search over the state machines of a controller and its supervisors: every sequence of events up to a depth. Events:
 * orders arrive, are lost or arrive late; processes start or fail to, and crash; controllers and supervisors are killed and restart from
 * their saved state; operators issue commands; another rollout with a later number appears.
 */
class RolloutSearchTest {
    private static final Version OLD = new Version("old", "/old.jar", "", ""), NEW = new Version("new", "/new.jar", "", "");
    private static final Plan PLAN = new Plan("p", List.of("a", "b"), List.of(1, 2), OLD, NEW, Margins.DEFAULTS,
            List.of("c"), 0, 1_000_000, 2_000_000, 6_000_000, true, false);
    /** Depth 7 ({@code -Drollout.depth=7}) has 162,121 states and takes a minute. */
    private static final int DEPTH = Integer.getInteger("rollout.depth", 5);

    /** State of the whole system after one path. A path is replayed from its start, since the state machines cannot be copied. */
    private static final class SystemState {
        Rollout controller = new Rollout(PLAN, 1);
        Progress savedProgress;
        final Map<String, Supervisor> supervisors = new TreeMap<>();
        final Map<String, SupervisorRecord> records = new TreeMap<>();
        /** Running processes by dispatcher and incarnation. */
        final Map<String, Map<Long, Version>> processes = new TreeMap<>();
        final List<RolloutAction.SendOrder> delayedOrders = new ArrayList<>();
        boolean linkUp = true;
        boolean newVersionStarts = true;
        long now = 1_000_000;
        int readyCount;

        SystemState() {
            for (String d : PLAN.dispatchers()) {
                records.put(d, SupervisorRecord.initial(OLD));
                processes.put(d, new TreeMap<>());
                supervisors.put(d, new Supervisor(new Supervisor.Options(true, 3_000_000), records.get(d)));
                supervisorEvent(d, new SupervisorEvent.Startup(false));
            }
            settle();
            controllerEvent(new RolloutEvent.Startup());
        }

        void controllerEvent(RolloutEvent e) {
            for (RolloutAction a : List.copyOf(controller.handle(e, now))) {
                if (a instanceof RolloutAction.Persist k) {
                    savedProgress = k.progress();
                } else if (a instanceof RolloutAction.SendOrder g) {
                    assertTrue(savedProgress != null && savedProgress.order().equals(g.order()), "an order was sent before it was saved");
                    assertTrue(g.version().equals(OLD) || savedProgress.fresh().contains(g.dispatcher()),
                            "the new version was ordered without a saved record of it");
                    if (linkUp) {
                        deliver(g);
                    } else {
                        delayedOrders.add(g);
                    }
                }
            }
        }

        void deliver(RolloutAction.SendOrder g) {
            Supervisor k = supervisors.get(g.dispatcher());
            if (k.isStale(g.order())) {
                controllerEvent(new RolloutEvent.OrderRefused(g.dispatcher(), k.record().seen()));
            } else {
                boolean repeated = g.order().equals(k.record().seen());
                long startedBefore = k.record().lives();
                supervisorEvent(g.dispatcher(), new OrderReceived(g.order(), g.version()));
                assertTrue(!repeated || k.record().lives() == startedBefore, "an order was executed twice");
            }
        }

        void supervisorEvent(String d, SupervisorEvent e) {
            for (SupervisorAction a : List.copyOf(supervisors.get(d).handle(e, now))) {
                if (a instanceof SupervisorAction.Persist k) {
                    records.put(d, k.record());
                } else if (a instanceof SupervisorAction.Start s) {
                    assertTrue(processes.get(d).put(s.incarnation(), s.version()) == null, "two processes with the same number");
                } else if (a instanceof SupervisorAction.Terminate s) {
                    exits(d, s.incarnation());
                } else if (a instanceof SupervisorAction.Kill s) {
                    exits(d, s.incarnation());
                }
            }
        }

        private final List<Runnable> exiting = new ArrayList<>();

        private void exits(String d, long incarnation) {
            exiting.add(() -> {
                if (processes.get(d).remove(incarnation) != null) {
                    supervisorEvent(d, new Exited(incarnation, "ended"));
                }
            });
        }

        /** Completes all pending transitions: terminated processes exit, and starting ones become ready or fail. */
        void settle() {
            for (int i = 0; i < 20; i++) {
                List<Runnable> now = List.copyOf(exiting);
                exiting.clear();
                now.forEach(Runnable::run);
                for (String d : supervisors.keySet()) {
                    long incarnation = supervisors.get(d).startingIncarnation();
                    if (incarnation > 0 && processes.get(d).containsKey(incarnation)) {
                        if (newVersionStarts || processes.get(d).get(incarnation).equals(OLD)) {
                            readyCount++;
                            supervisorEvent(d, new Ready(incarnation));
                        } else {
                            processes.get(d).remove(incarnation);
                            supervisorEvent(d, new Exited(incarnation, "does not start"));
                        }
                    }
                }
            }
        }

        /** Advances by one second: the controller polls all reachable supervisors and handles its timer. */
        void second() {
            now += 1_000_000;
            supervisors.keySet().forEach(d -> supervisorEvent(d, new SupervisorEvent.Tick()));
            settle();
            for (String d : PLAN.dispatchers()) {
                if (linkUp) {
                    controllerEvent(new RolloutEvent.StatusReceived(d, supervisors.get(d).status(
                            new Sample(1, Map.of("c", new Sample.Counts(now / 1000, 0, 0)), 0, now / 1e6, now / 1e6, 1))));
                    settle();
                }
            }
            controllerEvent(new RolloutEvent.Tick());
            settle();
        }

        void killController() {
            controller = savedProgress == null ? new Rollout(PLAN, 1) : new Rollout(PLAN, savedProgress);
            controllerEvent(new RolloutEvent.Startup());
        }

        void killSupervisor(String d) {
            SupervisorRecord r = records.get(d);
            // a restarted supervisor terminates all leftover processes except the recorded serving one
            processes.get(d).keySet().removeIf(incarnation -> incarnation != r.serving());
            exiting.clear();
            supervisors.put(d, new Supervisor(new Supervisor.Options(true, 3_000_000), r));
            supervisorEvent(d, new SupervisorEvent.Startup(processes.get(d).containsKey(r.serving()) && r.serving() != 0));
        }

        void crash(String d) {
            long incarnation = supervisors.get(d).servingIncarnation();
            if (incarnation > 0 && processes.get(d).remove(incarnation) != null) {
                supervisorEvent(d, new Exited(incarnation, "by itself"));
            }
        }

        /** Checks the invariants that hold after each step. */
        void check(List<String> path) {
            for (String d : PLAN.dispatchers()) {
                boolean runsNew = processes.get(d).containsValue(NEW);
                boolean overtaken = controller.progress().state() == State.OVERTAKEN;
                assertTrue(!runsNew || overtaken || savedProgress.fresh().contains(d)
                        || savedProgress.state() == State.RETURNED && supervisors.get(d).record().wanted().equals(OLD),
                        () -> d + " runs the new version without a saved record of it: " + path);
                SupervisorRecord r = supervisors.get(d).record();
                assertTrue(r.done().compareTo(r.seen()) <= 0 && r.failed().compareTo(r.seen()) <= 0,
                        () -> "an order is done or failed that was not seen: " + path);
            }
        }

        /** Checks that the rollout ends once all links and processes work again and an operator resolves each hold. */
        void finish(List<String> path) {
            linkUp = true;
            for (RolloutAction.SendOrder g : List.copyOf(delayedOrders)) {
                // late orders are delivered now and must do no harm
                deliver(g);
            }
            delayedOrders.clear();
            for (int i = 0; i < 200 && !controller.progress().state().terminal(); i++) {
                State s = controller.progress().state();
                if (controller.progress().paused() || s == State.HELD && i % 20 == 10) {
                    controllerEvent(new RolloutEvent.OperatorRequested(s == State.HELD && i > 100 ? OperatorCommand.BACK : OperatorCommand.RESUME));
                }
                if (s == State.HELD && i % 20 == 15) {
                    controllerEvent(new RolloutEvent.OperatorRequested(OperatorCommand.PASS));
                }
                second();
                check(path);
            }
            Progress p = controller.progress();
            assertTrue(p.state().terminal(), () -> "the rollout does not end: " + p + " after " + path);
            // a version that has served before is restarted until it starts again
            newVersionStarts = true;
            for (int i = 0; i < 30; i++) {
                now += 1_000_000;
                supervisors.keySet().forEach(d -> supervisorEvent(d, new SupervisorEvent.Tick()));
                settle();
            }
            for (String d : PLAN.dispatchers()) {
                assertEquals(1, processes.get(d).size(), () -> d + " does not have exactly one process at the end: " + path);
                Version runs = processes.get(d).values().iterator().next();
                if (p.state() == State.DONE) {
                    assertEquals(NEW, runs, () -> d + " after " + path);
                } else if (p.state() == State.RETURNED) {
                    assertEquals(OLD, runs, () -> d + " after " + path);
                }
            }
        }
    }

    /** Events that may happen next. */
    private static final Map<String, Consumer<SystemState>> MOVES = new TreeMap<>(Map.of(
            "second", SystemState::second,
            "kill controller", SystemState::killController,
            "kill keeper a", w -> w.killSupervisor("a"),
            "crash a", w -> w.crash("a"),
            "crash b", w -> w.crash("b"),
            "link", w -> w.linkUp = !w.linkUp,
            "new ones start or not", w -> w.newVersionStarts = !w.newVersionStarts,
            "back", w -> w.controllerEvent(new RolloutEvent.OperatorRequested(OperatorCommand.BACK)),
            "pause or resume", w -> w.controllerEvent(new RolloutEvent.OperatorRequested(
                    w.controller.progress().paused() ? OperatorCommand.RESUME : OperatorCommand.PAUSE)),
            "another rollout", w -> w.supervisorEvent("b", new OrderReceived(new Order(2, 1), OLD))));

    /** Returns a fingerprint of the state that determines all further behaviour. */
    private static String fingerprint(SystemState w) {
        StringBuilder b = new StringBuilder(w.controller.progress().toString());
        w.supervisors.forEach((d, k) -> b.append(d).append(k.record()).append(k.servingIncarnation())
                    .append(k.startingIncarnation()).append(w.processes.get(d)));
        return b.append(w.linkUp).append(w.newVersionStarts).append(w.delayedOrders).append(w.now).toString();
    }

    @Test
    void everySequenceHoldsTheInvariantsAndEnds() {
        Set<String> seen = new HashSet<>();
        List<List<String>> paths = List.of(List.of());
        int ended = 0;
        for (int depth = 0; depth <= DEPTH; depth++) {
            List<List<String>> next = new ArrayList<>();
            for (List<String> path : paths) {
                SystemState w = replay(path);
                if (!seen.add(fingerprint(w))) {
                    continue;
                }
                w.check(path);
                for (String move : MOVES.keySet()) {
                    List<String> longer = new ArrayList<>(path);
                    longer.add(move);
                    next.add(longer);
                }
                w.finish(path);
                ended++;
            }
            paths = next;
        }
        assertTrue(ended > 1_000, ended + " different states");
        System.out.println("rollout: " + ended + " different states to depth " + DEPTH);
    }

    private static SystemState replay(List<String> path) {
        SystemState w = new SystemState();
        for (String move : path) {
            MOVES.get(move).accept(w);
            w.settle();
            w.check(path);
        }
        return w;
    }
}
