package granitefold.rollout;

import java.util.Comparator;

/**
 * The place of an order among all that were ever given: the rollout's number, which only grows, and the step in it. Whoever has seen
 * one refuses every earlier one, so that a controller that was stopped and goes on later cannot undo what came after it.
 *
 * @param rollout number of the rollout; 0 before the first
 * @param step number of the step in it
 */
public record Order(long rollout, long step) implements Comparable<Order> {
    private static final Comparator<Order> BY_AGE = Comparator.comparingLong(Order::rollout).thenComparingLong(Order::step);
    public static final Order NONE = new Order(0, 0);

    @Override
    public int compareTo(Order other) {
        return BY_AGE.compare(this, other);
    }

    @Override
    public String toString() {
        return rollout + "." + step;
    }
}
