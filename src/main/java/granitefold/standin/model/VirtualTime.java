package granitefold.standin.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A scheduler in virtual time: its clock, in microseconds, advances from one scheduled task to the next. */
final class VirtualTime {
    private record Task(long atUs, long number, Runnable action) { }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>(Comparator.comparingLong(Task::atUs).thenComparingLong(Task::number));
    private final long startUs;
    private long nowUs;
    private long tasksScheduled;

    VirtualTime(long startUs) {
        this.startUs = startUs;
        nowUs = startUs;
    }

    long nowUs() {
        return nowUs;
    }

    long sinceStartUs() {
        return nowUs - startUs;
    }

    void after(long delayUs, Runnable action) {
        tasks.add(new Task(nowUs + Math.max(0, delayUs), tasksScheduled++, action));
    }

    /** Runs all tasks that are due within {@code lengthUs} after the start. */
    void run(long lengthUs) {
        while (!tasks.isEmpty() && tasks.peek().atUs() <= startUs + lengthUs) {
            Task next = tasks.remove();
            nowUs = next.atUs();
            next.action().run();
        }
        nowUs = startUs + lengthUs;
    }
}
