package granitefold.benchlink;

import granitefold.Dispatcher.Settings;
import granitefold.Dispatcher.Worker;
import granitefold.wire.InvalidInputException;
import granitefold.wire.SettingsReader;
import java.util.List;

/** One event as read from a line. Fields have the names of the protocol; those of other kinds of events keep their defaults. */
final class Event {
    String verb;
    boolean hasId;
    long id;
    int category = -1;
    int clientGroup = -1;
    double timeLeftMs;
    double expectedMs;
    int needs = 1;
    int ramUnits;
    String item;
    int trial = -1;
    int topic;
    double amount;
    boolean ended;
    long code;
    double[] feedback;
    int feedbackSize;
    String how;
    int list = -1;
    List<Worker> entries;
    long label;
    int src = -1;
    byte[] body;
    long salt;
    SettingsReader setup;

    /** Returns the id of the request that the event is about. */
    long request() {
        if (!hasId) {
            throw new InvalidInputException(verb + " without msgId");
        }
        return id;
    }

    Settings settings() {
        if (setup == null) {
            throw new InvalidInputException("PowerOn without setup");
        }
        return setup.settings();
    }
}
