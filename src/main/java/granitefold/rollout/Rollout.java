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
 * State machine of one rollout: (state, event, now) to actions. An order is saved before it is sent and may be sent repeatedly;
 * supervisors execute it once. A controller that continues from a saved {@link Progress} therefore neither skips nor repeats a step.
 */
public final class Rollout {
    /** Interval at which an order is sent again until the supervisor reports a result. */
    static final long ORDER_RESEND_US = 2_000_000;
    private static final int MAX_LOG_LINES = 500;

    private final Plan plan;
    private State state;
    private Order order;
    private int stage;
    private final Deque<Step> steps = new ArrayDeque<>();
    private final Set<String> candidates = new LinkedHashSet<>();
    private final Set<String> controls = new LinkedHashSet<>();
    private String verdict = "";
    private boolean paused;
    private final List<String> log = new ArrayList<>();

    // not saved: rebuilt after a restart of the controller
    private final Observations observations = new Observations();
    private Comparison comparison;
    private long stepStartedAt;
    private long orderSentAt;
    private long compareFrom;
    private long compareUntil;
    private long lastComparedAt;
    /** Consecutive failed rollback steps, each retried at the end of the queue; if more fail than are left, the rollout is held. */
    private int deferred;
    private final List<RolloutAction> actions = new ArrayList<>();

    /** Creates a rollout with this number that has not begun. */
    public Rollout(Plan plan, long number) {
        this.plan = plan;
        state = State.PLANNED;
        order = new Order(number, 0);
    }

    /** Creates a rollout that continues from saved progress. */
    public Rollout(Plan plan, Progress saved) {
        this.plan = plan;
        state = saved.state();
        order = saved.order();
        stage = saved.stage();
        steps.addAll(saved.steps());
        candidates.addAll(saved.fresh());
        controls.addAll(saved.controls());
        verdict = saved.verdict();
        paused = saved.paused();
        log.addAll(saved.log());
    }

    public Progress progress() {
        return new Progress(plan.name(), state, order, stage, List.copyOf(steps), List.copyOf(candidates), List.copyOf(controls), verdict, paused,
                List.copyOf(log));
    }

    /** Returns the results of the present stage's comparison. */
    public List<MetricResult> metricResults() {
        return comparison == null ? List.of() : comparison.metricResults();
    }

    /** Handles one event. Returns the actions in the order to perform them, in a list that is valid until the next call. */
    public List<RolloutAction> handle(RolloutEvent event, long now) {
        actions.clear();
        if (event instanceof RolloutEvent.Startup) {
            startup(now);
        } else if (event instanceof RolloutEvent.StatusReceived e) {
            statusReceived(e.dispatcher(), e.status(), now);
        } else if (event instanceof RolloutEvent.OrderRefused e) {
            orderRefused(e.dispatcher(), e.seen());
        } else if (event instanceof RolloutEvent.OperatorRequested e) {
            operatorRequested(e.command(), now);
        } else if (event instanceof RolloutEvent.Tick) {
            tick(now);
        }
        return Collections.unmodifiableList(actions);
    }

    // ---------------------------------------------------------------- transitions
    private void enter(State next, String why) {
        state = next;
        verdict = why;
        addLog(next + (next == State.CHANGING || next == State.LOOKING ? " stage " + (stage + 1) : "") + (why.isEmpty() ? "" : ": " + why));
        actions.add(new RolloutAction.Persist(progress()));
    }

    private void addLog(String message) {
        log.add(message);
        if (log.size() > MAX_LOG_LINES) {
            log.remove(1);
        }
        actions.add(new RolloutAction.Log(message));
    }

    private void startup(long now) {
        lastComparedAt = now;
        if (state == State.PLANNED) {
            enterStage(0, now);
        } else if (!state.terminal()) {
            addLog("continues in " + state + " at order " + order);
            if (state == State.LOOKING) {
                startComparison(now);
            } else if (!steps.isEmpty() && (state == State.CHANGING || state == State.RETURNING)) {
                sendOrder(now);
            }
        }
    }

    private void enterStage(int next, long now) {
        stage = next;
        int target = plan.stages().get(next);
        List<String> changing = plan.dispatchers().stream().filter(d -> !candidates.contains(d)).limit(target - candidates.size()).toList();
        List<String> unchanged = new ArrayList<>(plan.dispatchers().stream().filter(d -> !candidates.contains(d) && !changing.contains(d)).toList());
        Collections.reverse(unchanged);
        controls.clear();
        steps.clear();
        for (int i = 0; i < changing.size(); i++) {
            steps.add(new Step(changing.get(i), true));
            if (plan.restartControls() && i < unchanged.size()) {
                controls.add(unchanged.get(i));
                steps.add(new Step(unchanged.get(i), false));
            }
        }
        observations.startStage();
        order = new Order(order.rollout(), order.step() + 1);
        markCandidate();
        enter(State.CHANGING, "");
        sendOrder(now);
    }

    /** Counts the first step's dispatcher as a candidate before its order is sent, whether or not the order arrives. */
    private void markCandidate() {
        Step s = steps.peek();
        if (s != null && s.fresh()) {
            candidates.add(s.dispatcher());
        }
    }

    private void sendOrder(long now) {
        Step s = steps.peek();
        stepStartedAt = now;
        orderSentAt = now;
        actions.add(new RolloutAction.SendOrder(s.dispatcher(), order, s.fresh() ? plan.candidate() : plan.baseline()));
    }

    private void stepDone(long now) {
        Step s = steps.remove();
        deferred = 0;
        if (state == State.RETURNING) {
            candidates.remove(s.dispatcher());
        }
        if (steps.isEmpty()) {
            if (state == State.RETURNING) {
                enter(State.RETURNED, verdict);
            } else {
                enter(State.LOOKING, "");
                startComparison(now);
            }
            return;
        }
        order = new Order(order.rollout(), order.step() + 1);
        markCandidate();
        actions.add(new RolloutAction.Persist(progress()));
        if (!paused) {
            sendOrder(now);
        }
    }

    private void stepFailed(String why, boolean answered, long now) {
        Step s = steps.peek();
        String message = s.dispatcher() + " to the " + (s.fresh() ? "new" : "old") + " version: " + why;
        if (state == State.RETURNING) {
            if (++deferred <= steps.size()) {
                // the other dispatchers are rolled back first
                addLog(message + "; retried after the other dispatchers");
                steps.add(steps.remove());
                order = new Order(order.rollout(), order.step() + 1);
                actions.add(new RolloutAction.Persist(progress()));
                sendOrder(now);
            } else {
                enter(State.HELD, "not all dispatchers are rolled back: " + message);
            }
        } else if (s.fresh() && answered) {
            failStage(message, now);
        } else {
            enter(State.HELD, message);
        }
    }

    private void failStage(String why, long now) {
        if (plan.rollBack()) {
            rollBack(why, now);
        } else {
            enter(State.STOPPED, why);
        }
    }

    private void rollBack(String why, long now) {
        steps.clear();
        List<String> all = new ArrayList<>(candidates);
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
        sendOrder(now);
    }

    // ---------------------------------------------------------------- events
    private void statusReceived(String dispatcher, SupervisorStatus s, long now) {
        observations.update(dispatcher, s, state == State.CHANGING || state == State.LOOKING, now);
        if (s.seen().rollout() > order.rollout()) {
            orderRefused(dispatcher, s.seen());
            return;
        }
        Step step = steps.peek();
        if (step == null || !step.dispatcher().equals(dispatcher)) {
            return;
        }
        if (s.done().equals(order)) {
            if (state == State.HELD) {
                // the supervisor was unreachable and has executed the order meanwhile
                enter(rollingBack() ? State.RETURNING : State.CHANGING, dispatcher + " has executed the order after all");
            }
            if (state == State.CHANGING || state == State.RETURNING) {
                stepDone(now);
            }
        } else if (s.failed().equals(order) && (state == State.CHANGING || state == State.RETURNING)) {
            stepFailed(s.why(), true, now);
        }
    }

    private void orderRefused(String dispatcher, Order seen) {
        if (seen.rollout() > order.rollout() && !state.terminal()) {
            enter(State.OVERTAKEN, dispatcher + " has seen order " + seen + ", ours is " + order);
        }
    }

    private void operatorRequested(OperatorCommand command, long now) {
        if (state == State.OVERTAKEN || state == State.RETURNED) {
            return;
        }
        switch (command) {
            case BACK -> rollBack("requested by an operator", now);
            case STOP -> {
                if (!state.terminal()) {
                    enter(State.STOPPED, "requested by an operator");
                }
            }
            case PAUSE -> {
                if (!state.terminal()) {
                    paused = true;
                    addLog("paused");
                    actions.add(new RolloutAction.Persist(progress()));
                }
            }
            case RESUME -> resume(now);
            default -> {
                if (state == State.HELD && steps.isEmpty()) {
                    addLog("passed by an operator: " + verdict);
                    nextStage(now);
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
            enter(steps.isEmpty() ? State.LOOKING : rollingBack() ? State.RETURNING : State.CHANGING, "requested by an operator");
        } else {
            addLog("resumed");
            actions.add(new RolloutAction.Persist(progress()));
        }
        if (state == State.LOOKING) {
            startComparison(now);
        } else if (!steps.isEmpty()) {
            sendOrder(now);
        }
    }

    /** Returns whether the pending steps are a rollback. A stage's own old-version steps restart dispatchers that are not candidates. */
    private boolean rollingBack() {
        return steps.stream().allMatch(s -> !s.fresh() && candidates.contains(s.dispatcher()));
    }

    private void startComparison(long now) {
        if (comparison == null) {
            comparison = new Comparison(plan.margins(), plan.classes());
        }
        compareFrom = now + plan.warmUpUs();
        compareUntil = compareFrom + plan.maxComparisonUs();
        lastComparedAt = now;
    }

    private void tick(long now) {
        if (paused || state.terminal() || state == State.PLANNED || state == State.HELD) {
            lastComparedAt = now;
            return;
        }
        if (state == State.CHANGING || state == State.RETURNING) {
            Step s = steps.peek();
            if (now - stepStartedAt > plan.stepTimeoutUs()) {
                SupervisorStatus status = observations.recentStatus(s.dispatcher(), now);
                stepFailed(status != null ? "not done in time" : "its keeper does not answer", status != null && status.seen().equals(order), now);
            } else if (now - orderSentAt > ORDER_RESEND_US) {
                orderSentAt = now;
                actions.add(new RolloutAction.SendOrder(s.dispatcher(), order, s.fresh() ? plan.candidate() : plan.baseline()));
            }
        }
        if ((state == State.CHANGING || state == State.LOOKING) && observations.crashesDue(now)) {
            crashes(now);
        }
        if (state == State.LOOKING) {
            compare(now);
        }
    }

    /** Fails the stage if candidates crash more often than the dispatchers on the old version. */
    private void crashes(long now) {
        observations.crashesEvaluated();
        int candidateCrashes = observations.crashCount(candidates);
        List<String> others = plan.dispatchers().stream().filter(d -> !candidates.contains(d)).toList();
        double meanOtherCrashes = others.isEmpty() ? 0 : (double) observations.crashCount(others) / others.size();
        if (candidateCrashes - meanOtherCrashes * candidates.size() > plan.margins().crashes()) {
            failStage(candidateCrashes + " ends by themselves among " + candidates.size() + " new ones, "
                    + observations.crashCount(others) + " among " + others.size() + " old ones", now);
        }
    }

    private void compare(long now) {
        double seconds = (now - lastComparedAt) / 1e6;
        lastComparedAt = now;
        if (now < compareFrom) {
            return;
        }
        List<String> baseline = controls.isEmpty()
                ? plan.dispatchers().stream().filter(d -> !candidates.contains(d)).toList() : List.copyOf(controls);
        boolean noBaseline = candidates.size() == plan.dispatchers().size();
        if (!noBaseline) {
            comparison.addSamples(observations.samples(candidates, now, plan.warmUpUs()),
                    observations.samples(baseline, now, plan.warmUpUs()), seconds);
        }
        Verdict v = noBaseline ? new Verdict(Verdict.Kind.GOOD, "no dispatcher on the old version is left to compare with")
                : comparison.verdict();
        if (v.kind() == Verdict.Kind.WORSE) {
            failStage(v.why(), now);
        } else if (v.kind() == Verdict.Kind.GOOD && now - compareFrom >= plan.minComparisonUs() && observations.noCrashPending()) {
            addLog("stage " + (stage + 1) + " is good: " + v.why());
            nextStage(now);
        } else if (now >= compareUntil) {
            enter(State.HELD, "inconclusive: " + v.why());
        }
    }

    private void nextStage(long now) {
        comparison = null;
        if (stage + 1 < plan.stages().size()) {
            enterStage(stage + 1, now);
        } else {
            enter(State.DONE, "");
        }
    }
}
