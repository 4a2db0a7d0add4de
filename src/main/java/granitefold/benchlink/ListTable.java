package granitefold.benchlink;

import granitefold.Dispatcher.Worker;
import granitefold.wire.InvalidInputException;
import java.util.List;

/** The numbered lists of workers that the wire declares; a number is used again for another list. */
final class ListTable {
    private static final int NUMBERS = 16;
    private final List<?>[] lists = new List<?>[NUMBERS];

    void put(int number, List<Worker> entries) {
        if (number < 0 || number >= NUMBERS || entries == null) {
            throw new InvalidInputException("List with a bad number or without nodesList");
        }
        lists[number] = entries;
    }

    @SuppressWarnings("unchecked")
    List<Worker> get(int number) {
        if (number < 0 || number >= NUMBERS || lists[number] == null) {
            throw new InvalidInputException("Members names list " + number + ", which was never sent");
        }
        return (List<Worker>) lists[number];
    }
}
