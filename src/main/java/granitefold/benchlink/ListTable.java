package granitefold.benchlink;

import granitefold.Dispatcher.Worker;
import granitefold.wire.InvalidInputException;
import java.util.List;

/** The numbered worker lists that the simulator has sent. A number may be reused for another list. */
final class ListTable {
    private static final int MAX_LISTS = 16;
    private final List<?>[] lists = new List<?>[MAX_LISTS];

    void put(int number, List<Worker> entries) {
        if (number < 0 || number >= MAX_LISTS || entries == null) {
            throw new InvalidInputException("List with a bad number or without nodesList");
        }
        lists[number] = entries;
    }

    @SuppressWarnings("unchecked")
    List<Worker> get(int number) {
        if (number < 0 || number >= MAX_LISTS || lists[number] == null) {
            throw new InvalidInputException("Members refers to list " + number + ", which was never sent");
        }
        return (List<Worker>) lists[number];
    }
}
