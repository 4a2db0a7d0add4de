package granitefold.rollout;

import granitefold.rollout.Progress.State;
import granitefold.rollout.Progress.Step;
import granitefold.rollout.RolloutEvent.OperatorCommand;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * One rollout: (state, event, now) to actions. An order is kept before it is given and may be given twice, keepers see to it that it is
 * carried out once; so whoever goes on with a kept {@link Progress} neither leaves a step out nor does one twice.
 */
public final class Rollout {
    /** An order that may have got lost is given again after so long. */
    static final long AGAIN_US = 2_000_000;
    private static final int LOG_MOST = 500;

    private final Plan plan;
    private State state;
    private Order order;
    private int stage;
    private final Deque<Step> steps = new ArrayDeque<>();
    private final Set<String> fresh = new LinkedHashSet<>();
    private final Set<String> controls = new LinkedHashSet<>();
    private String verdict = "";
    private boolean paused;
    private final List<String> log = new ArrayList<>();

    // what a controller that comes back learns anew
    private final Observations sights = new Observations();
    private Comparison evidence;
    private long stepSince;
    private long givenAt;
    private long lookFrom;
    private long lookUntil;
    private long lastLook;
    /** Steps of a return that could not be done yet; each is tried once more at the end. */
    private int deferred;
    private final List<RolloutAction> actions = new ArrayList<>();

    /** A rollout of this number that has not begun. */
    public Rollout(Plan plan, long number) {
        this.plan = plan;
        state = State.PLANNED;
        order = new Order(number, 0);
    }

    /** One that goes on with what was kept. */
    public Rollout(Plan plan, Progress kept) {
        this.plan = plan;
        state = kept.state();
        order = kept.order();
        stage = kept.stage();
        steps.addAll(kept.steps());
        fresh.addAll(kept.fresh());
        controls.addAll(kept.controls());
        verdict = kept.verdict();
        paused = kept.paused();
        log.addAll(kept.log());
    }

    public Progress progress() {
        return new Progress(plan.name(), state, order, stage, List.copyOf(steps), List.copyOf(fresh), List.copyOf(controls), verdict, paused,
                List.copyOf(log));
    }

    /** What the stage in hand has shown. */
    public List<MetricResult> metricResults() {
        return evidence == null ? List.of() : evidence.metricResults();
    }

    /** Takes one event in; returns what it asks for, in order, in a list that stands until the next call. */
    public List<RolloutAction> handle(RolloutEvent event, long now) {
        actions.clear();
        if (event instanceof RolloutEvent.Startup) {
            begin(now);
        } else if (event instanceof RolloutEvent.StatusReceived e) {
            seen(e.dispatcher(), e.status(), now);
        } else if (event instanceof RolloutEvent.OrderRefused e) {
            refused(e.dispatcher(), e.seen());
        } else if (event instanceof RolloutEvent.OperatorRequested e) {
            wished(e.command(), now);
        } else if (event instanceof RolloutEvent.Tick) {
            tick(now);
        }
        return Collections.unmodifiableList(actions);
    }

    // ---------------------------------------------------------------- transitions
    private void enter(State next, String why) {
        state = next;
        verdict = why;
        say(next + (next == State.CHANGING || next == State.LOOKING ? " stage " + (stage + 1) : "") + (why.isEmpty() ? "" : ": " + why));
        actions.add(new RolloutAction.Persist(progress()));
    }

    private void say(String what) {
        log.add(what);
        if (log.size() > LOG_MOST) {
            log.remove(1);
        }
        actions.add(new RolloutAction.Log(what));
    }

    private void begin(long now) {
        lastLook = now;
        if (state == State.PLANNED) {
            enterStage(0, now);
        } else if (!state.terminal()) {
            say("goes on in " + state + " at order " + order);
            if (state == State.LOOKING) {
                look(now);
            } else if (!steps.isEmpty() && (state == State.CHANGING || state == State.RETURNING)) {
                give(now);
            }
        }
    }

    private void enterStage(int next, long now) {
        stage = next;
        int target = plan.stages().get(next);
        List<String> change = plan.dispatchers().stream().filter(d -> !fresh.contains(d)).limit(target - fresh.size()).toList();
        List<String> stay = new ArrayList<>(plan.dispatchers().stream().filter(d -> !fresh.contains(d) && !change.contains(d)).toList());
        Collections.reverse(stay);
        controls.clear();
        steps.clear();
        for (int i = 0; i < change.size(); i++) {
            steps.add(new Step(change.get(i), true));
            if (plan.restartControls() && i < stay.size()) {
                controls.add(stay.get(i));
                steps.add(new Step(stay.get(i), false));
            }
        }
        sights.stage();
        order = new Order(order.rollout(), order.step() + 1);
        promise();
        enter(State.CHANGING, "");
        give(now);
    }

    /** From now on the first step's dispatcher counts as one of its version, whether or not the order reaches it. */
    private void promise() {
        Step s = steps.peek();
        if (s != null && s.fresh()) {
            fresh.add(s.dispatcher());
        }
    }

    private void give(long now) {
        Step s = steps.peek();
        stepSince = now;
        givenAt = now;
        actions.add(new RolloutAction.SendOrder(s.dispatcher(), order, s.fresh() ? plan.candidate() : plan.baseline()));
    }

    private void stepDone(long now) {
        Step s = steps.remove();
        deferred = 0;
        if (state == State.RETURNING) {
            fresh.remove(s.dispatcher());
        }
        if (steps.isEmpty()) {
            if (state == State.RETURNING) {
                enter(State.RETURNED, verdict);
            } else {
                enter(State.LOOKING, "");
                look(now);
            }
            return;
        }
        order = new Order(order.rollout(), order.step() + 1);
        promise();
        actions.add(new RolloutAction.Persist(progress()));
        if (!paused) {
            give(now);
        }
    }

    private void stepFailed(String why, boolean answered, long now) {
        Step s = steps.peek();
        String what = s.dispatcher() + " to the " + (s.fresh() ? "new" : "old") + " version: " + why;
        if (state == State.RETURNING) {
            if (++deferred <= steps.size()) {
                // the others do not wait for it
                say(what + "; it is tried again after the others");
                steps.add(steps.remove());
                order = new Order(order.rollout(), order.step() + 1);
                actions.add(new RolloutAction.Persist(progress()));
                give(now);
            } else {
                enter(State.HELD, "not all are back: " + what);
            }
        } else if (s.fresh() && answered) {
            worse(what, now);
        } else {
            enter(State.HELD, what);
        }
    }

    private void worse(String why, long now) {
        if (plan.rollBack()) {
            back(why, now);
        } else {
            enter(State.STOPPED, why);
        }
    }

    private void back(String why, long now) {
        steps.clear();
        List<String> all = new ArrayList<>(fresh);
        Collections.reverse(all);
        all.forEach(d -> steps.add(new Step(d, false)));
        deferred = 0;
        paused = false;
        if (steps.isEmpty()) {
            enter(State.RETURNED, why);
            return;
        }
        order = new Order(order.rollout(), order.step() + 1);
        enter(State.RETURNING, why);
        give(now);
    }

    // ---------------------------------------------------------------- events
    private void seen(String dispatcher, SupervisorStatus s, long now) {
        sights.saw(dispatcher, s, state == State.CHANGING || state == State.LOOKING, now);
        if (s.seen().rollout() > order.rollout()) {
            refused(dispatcher, s.seen());
            return;
        }
        Step step = steps.peek();
        if (step == null || !step.dispatcher().equals(dispatcher)) {
            return;
        }
        if (s.done().equals(order)) {
            if (state == State.HELD) {
                // it was out of reach and has done it after all
                enter(returning() ? State.RETURNING : State.CHANGING, dispatcher + " is there after all");
            }
            if (state == State.CHANGING || state == State.RETURNING) {
                stepDone(now);
            }
        } else if (s.failed().equals(order) && (state == State.CHANGING || state == State.RETURNING)) {
            stepFailed(s.why(), true, now);
        }
    }

    private void refused(String dispatcher, Order seen) {
        if (seen.rollout() > order.rollout() && !state.terminal()) {
            enter(State.OVERTAKEN, dispatcher + " has seen order " + seen + ", ours is " + order);
        }
    }

    private void wished(OperatorCommand wish, long now) {
        if (state == State.OVERTAKEN || state == State.RETURNED) {
            return;
        }
        switch (wish) {
            case BACK -> back("an operator's word", now);
            case STOP -> {
                if (!state.terminal()) {
                    enter(State.STOPPED, "an operator's word");
                }
            }
            case PAUSE -> {
                if (!state.terminal()) {
                    paused = true;
                    say("paused");
                    actions.add(new RolloutAction.Persist(progress()));
                }
            }
            case RESUME -> resume(now);
            default -> {
                if (state == State.HELD && steps.isEmpty()) {
                    say("passed by an operator's word: " + verdict);
                    passed(now);
                }
            }
        }
    }

    private void resume(long now) {
        if (state.terminal()) {
            return;
        }
        paused = false;
        if (state == State.HELD) {
            deferred = 0;
            enter(steps.isEmpty() ? State.LOOKING : returning() ? State.RETURNING : State.CHANGING, "an operator's word");
        } else {
            say("resumed");
            actions.add(new RolloutAction.Persist(progress()));
        }
        if (state == State.LOOKING) {
            look(now);
        } else if (!steps.isEmpty()) {
            give(now);
        }
    }

    /** Whether the steps in hand lead back: of a stage's own, old ones are started anew that never were new. */
    private boolean returning() {
        return steps.stream().allMatch(s -> !s.fresh() && fresh.contains(s.dispatcher()));
    }

    private void look(long now) {
        if (evidence == null) {
            evidence = new Comparison(plan.margins(), plan.classes());
        }
        lookFrom = now + plan.warmUpUs();
        lookUntil = lookFrom + plan.maxComparisonUs();
        lastLook = now;
    }

    private void tick(long now) {
        if (paused || state.terminal() || state == State.PLANNED || state == State.HELD) {
            lastLook = now;
            return;
        }
        if (state == State.CHANGING || state == State.RETURNING) {
            Step s = steps.peek();
            if (now - stepSince > plan.stepTimeoutUs()) {
                SupervisorStatus status = sights.lately(s.dispatcher(), now);
                stepFailed(status != null ? "not done in time" : "its keeper does not answer", status != null && status.seen().equals(order), now);
            } else if (now - givenAt > AGAIN_US) {
                givenAt = now;
                actions.add(new RolloutAction.SendOrder(s.dispatcher(), order, s.fresh() ? plan.candidate() : plan.baseline()));
            }
        }
        if ((state == State.CHANGING || state == State.LOOKING) && sights.toJudge(now)) {
            crashes(now);
        }
        if (state == State.LOOKING) {
            looking(now);
        }
    }

    /** Whether new ones end by themselves more often than old ones beside them. */
    private void crashes(long now) {
        sights.judged();
        int ofFresh = sights.crashed(fresh);
        List<String> others = plan.dispatchers().stream().filter(d -> !fresh.contains(d)).toList();
        double ofOld = others.isEmpty() ? 0 : (double) sights.crashed(others) / others.size();
        if (ofFresh - ofOld * fresh.size() > plan.margins().crashes()) {
            worse(ofFresh + " ends by themselves among " + fresh.size() + " new ones, " + sights.crashed(others) + " among " + others.size() + " old ones", now);
        }
    }

    private void looking(long now) {
        double seconds = (now - lastLook) / 1e6;
        lastLook = now;
        if (now < lookFrom) {
            return;
        }
        List<String> old = controls.isEmpty() ? plan.dispatchers().stream().filter(d -> !fresh.contains(d)).toList() : List.copyOf(controls);
        boolean alone = fresh.size() == plan.dispatchers().size();
        if (!alone) {
            evidence.look(sights.samples(fresh, now, plan.warmUpUs()), sights.samples(old, now, plan.warmUpUs()), seconds);
        }
        Verdict v = alone ? new Verdict(Verdict.Kind.GOOD, "no old ones are left to compare with") : evidence.verdict();
        if (v.kind() == Verdict.Kind.WORSE) {
            worse(v.why(), now);
        } else if (v.kind() == Verdict.Kind.GOOD && now - lookFrom >= plan.minComparisonUs() && sights.quiet()) {
            say("stage " + (stage + 1) + " is good: " + v.why());
            passed(now);
        } else if (now >= lookUntil) {
            enter(State.HELD, "not told apart: " + v.why());
        }
    }

    private void passed(long now) {
        evidence = null;
        if (stage + 1 < plan.stages().size()) {
            enterStage(stage + 1, now);
        } else {
            enter(State.DONE, "");
        }
    }
}
