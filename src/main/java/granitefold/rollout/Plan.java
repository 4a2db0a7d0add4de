package granitefold.rollout;

import java.util.ArrayList;
import java.util.List;

/**
 * What is to change, in which stages, and what is done when a stage does worse.
 *
 * @param name how people call it
 * @param dispatchers all that take part, in the order in which they change
 * @param stages how many of them run the new version at the end of each stage; the last one is all of them
 * @param warmUpUs so long after a stage's last step nothing is compared: a fresh process is slow
 * @param minComparisonUs the least that a stage is looked at
 * @param maxComparisonUs how long it is looked at where new and old are not told apart; then it holds
 * @param stepTimeoutUs how long one dispatcher's change may take
 * @param rollBack what happens when a stage does worse: all go back to the old version, else it stops where it is
 * @param restartControls old ones are started anew with each stage's new ones, so that both are of one age
 */
public record Plan(String name, List<String> dispatchers, List<Integer> stages, Version baseline, Version candidate, Margins margins,
        List<String> classes, long warmUpUs, long minComparisonUs, long maxComparisonUs, long stepTimeoutUs, boolean rollBack, boolean restartControls) {

    /** What is wrong with it, in sentences; empty where it can be played. */
    public List<String> problems() {
        List<String> all = new ArrayList<>();
        if (dispatchers.isEmpty() || dispatchers.stream().distinct().count() != dispatchers.size()) {
            all.add("dispatchers: there are none, or one is named twice");
        }
        int before = 0;
        for (int s : stages) {
            if (s <= before) {
                all.add("stages: each has to change more dispatchers than the one before");
            }
            before = s;
        }
        if (stages.isEmpty() || before != dispatchers.size()) {
            all.add("stages: the last one has to be all dispatchers");
        }
        if (baseline.equals(candidate)) {
            all.add("old and new are the same");
        }
        if (minComparisonUs > maxComparisonUs) {
            all.add("look: the least is more than the most");
        }
        return all;
    }
}
