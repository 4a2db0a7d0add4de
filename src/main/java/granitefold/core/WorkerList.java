package granitefold.core;

import granitefold.Dispatcher.State;
import java.util.List;

/** A list of workers from discovery: the {@code whole} list, or only the changes since the previous one. */
public record WorkerList(long version, boolean whole, List<Entry> entries) {

    /** One worker; {@code startedAtUs} is Unix time in microseconds, 0 for long ago. */
    public record Entry(String name, String address, State state, double weight, long startedAtUs, int zone,
            int cell, int kind) { }
}
