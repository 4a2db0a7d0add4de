package granitefold.policy;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * The listed workers in one shuffled order, which is the same on all dispatchers. A change costs a search and
 * a move of memory: to sort all workers of a large fleet anew takes longer than the time between two changes.
 */
final class ShuffledOrder {
    private final int number;
    /** The first {@code size} elements are the workers' hashes in ascending order, and their workers. */
    private long[] hashes = {};
    private TrackedWorker[] workers = {};
    private int size;

    /** @param number determines the order */
    ShuffledOrder(int number) {
        this.number = number;
    }

    /** Returns the worker at a position. */
    TrackedWorker get(int position) {
        return workers[position];
    }

    /** Replaces all workers. */
    void set(List<TrackedWorker> listed) {
        workers = listed.toArray(TrackedWorker[]::new);
        Arrays.sort(workers, Comparator.comparingLong(this::hash));
        hashes = Arrays.stream(workers).mapToLong(this::hash).toArray();
        size = workers.length;
    }

    void add(TrackedWorker worker) {
        if (size == hashes.length) {
            int capacity = size + size / 4 + 1;
            hashes = Arrays.copyOf(hashes, capacity);
            workers = Arrays.copyOf(workers, capacity);
        }
        long hash = hash(worker);
        int position = -1 - Arrays.binarySearch(hashes, 0, size, hash);
        System.arraycopy(hashes, position, hashes, position + 1, size - position);
        System.arraycopy(workers, position, workers, position + 1, size - position);
        hashes[position] = hash;
        workers[position] = worker;
        size++;
    }

    void remove(TrackedWorker worker) {
        int position = Arrays.binarySearch(hashes, 0, size, hash(worker));
        size--;
        System.arraycopy(hashes, position + 1, hashes, position, size - position);
        System.arraycopy(workers, position + 1, workers, position, size - position);
        workers[size] = null;
    }

    /** Returns a hash that no two workers share. */
    private long hash(TrackedWorker worker) {
        return TrackedWorker.hash(worker.id, ~number);
    }
}
