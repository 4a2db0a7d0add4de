package granitefold.rollout;

import java.util.Comparator;

/**
 * Sequence number of an order: the rollout's number, which only grows, and the step within it. A supervisor refuses every order older
 * than the latest one it has seen, so that a controller that was suspended cannot undo later changes (a fencing token). Written as JSON.
 *
 * @param rollout number of the rollout; 0 before the first one
 * @param step number of the step within the rollout
 */
public record Order(long rollout, long step) implements Comparable<Order> {
    private static final Comparator<Order> BY_NUMBER = Comparator.comparingLong(Order::rollout).thenComparingLong(Order::step);
    public static final Order NONE = new Order(0, 0);

    @Override
    public int compareTo(Order other) {
        return BY_NUMBER.compare(this, other);
    }

    @Override
    public String toString() {
        return rollout + "." + step;
    }
}
