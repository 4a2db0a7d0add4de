package granitefold.policy;

import java.util.Arrays;

/** A worker's slots as the times until they become free, in ascending order. */
final class SlotSchedule {
    private double[] freeIn = new double[8];
    private int count;

    /** Resets to a number of slots that are all free now. */
    void reset(int slots) {
        if (freeIn.length < slots) {
            freeIn = new double[slots];
        }
        count = slots;
        Arrays.fill(freeIn, 0, slots, 0);
    }

    /** Places a job on the slots that become free first, as soon as enough of them are free. */
    void place(int slots, double time) {
        int needed = Math.min(slots, count);
        double end = freeIn[needed - 1] + time;
        int i = needed;
        while (i < count && freeIn[i] < end) {
            freeIn[i - needed] = freeIn[i];
            i++;
        }
        Arrays.fill(freeIn, i - needed, i, end);
    }

    /** Returns the time until this many slots are free together. */
    double timeUntilFree(int slots) {
        return freeIn[Math.min(slots, count) - 1];
    }
}
