package granitefold.rollout;

import java.util.ArrayList;
import java.util.List;

/**
 * Plan of a rollout: the versions, the stages, the margins of the comparison and the reaction to a worse stage.
 *
 * @param name name shown to operators
 * @param dispatchers the dispatchers in the order in which they are changed
 * @param stages number of dispatchers on the new version at the end of each stage; the last one includes all
 * @param warmUpUs time after a stage's last step, or a process's start, before its metrics are compared: a new process is slow
 * @param minComparisonUs shortest comparison before a stage passes
 * @param maxComparisonUs time limit of an inconclusive comparison, after which the rollout waits for an operator
 * @param stepTimeoutUs time limit of one dispatcher's change
 * @param rollBack whether a worse stage rolls all dispatchers back to the old version; otherwise the rollout stops
 * @param restartControls whether each changed dispatcher is paired with a restarted one on the old version, so that both have the same uptime
 */
public record Plan(String name, List<String> dispatchers, List<Integer> stages, Version baseline, Version candidate, Margins margins,
        List<String> classes, long warmUpUs, long minComparisonUs, long maxComparisonUs, long stepTimeoutUs,
        boolean rollBack, boolean restartControls) {

    /** Returns the errors of the plan as sentences, empty if it is valid. */
    public List<String> problems() {
        List<String> found = new ArrayList<>();
        if (dispatchers.isEmpty() || dispatchers.stream().distinct().count() != dispatchers.size()) {
            found.add("dispatchers: the list is empty or has duplicates");
        }
        int previous = 0;
        for (int stage : stages) {
            if (stage <= previous) {
                found.add("stages: each stage must change more dispatchers than the previous one");
            }
            previous = stage;
        }
        if (stages.isEmpty() || previous != dispatchers.size()) {
            found.add("stages: the last stage must include all dispatchers");
        }
        if (baseline.equals(candidate)) {
            found.add("old and new are the same version");
        }
        if (minComparisonUs > maxComparisonUs) {
            found.add("look: least is greater than most");
        }
        return found;
    }
}
