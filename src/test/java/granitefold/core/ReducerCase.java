package granitefold.core;

import granitefold.Dispatcher;
import granitefold.Dispatcher.Group;
import granitefold.Dispatcher.JobClass;
import granitefold.Dispatcher.Limits;
import granitefold.Dispatcher.Prices;
import granitefold.Dispatcher.Rules;
import granitefold.Dispatcher.Settings;
import granitefold.Dispatcher.State;
import java.util.ArrayList;
import java.util.List;

/** Base class of tests that drive a reducer on virtual time and collect its effects. */
class ReducerCase {
    static final long SECOND = 1_000_000;

    final Reducer reducer = new Reducer(settings(5 * SECOND), new Reducer.Bounds(8, 8, 8, 120_000, 10 * SECOND), 1);
    static final ShutdownSchedule SCHEDULE = new ShutdownSchedule(3_700_000);
    final List<Effect> effects = new ArrayList<>();
    long now = 1_000 * SECOND;

    void play(Event event) {
        effects.addAll(played(reducer, event, now));
    }

    /** Processes an event, and reports at once that the sockets were polled and the listener closed if the shutdown requests it. */
    static List<Effect> played(Reducer reducer, Event event, long now) {
        List<Effect> all = new ArrayList<>(reducer.reduce(event, now));
        for (int i = 0; i < all.size(); i++) {
            if (all.get(i) instanceof Effect.PollSockets poll && poll.connection() == Effect.PollSockets.SHUTDOWN) {
                all.addAll(reducer.reduce(new Event.SocketsPolled(Effect.PollSockets.SHUTDOWN), now));
            } else if (all.get(i) instanceof Effect.StopListening) {
                all.addAll(reducer.reduce(new Event.ListenerClosed(true), now));
            }
        }
        return all;
    }

    <T> List<T> all(Class<T> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    static WorkerList list(State state, boolean whole) {
        return new WorkerList(1, whole, List.of(new WorkerList.Entry("p", "127.0.0.1:1", state, 1, 0, 0, 0, 0)));
    }

    void request() {
        play(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"));
        play(new Event.WatchUpdated(null));
        request(7, "t");
    }

    void request(long client, String name) {
        open(client);
        play(new Event.RequestArrived(client, new Submission(name, 0, 0, 2 * SECOND, 1_000, 1, 0, 0, new Payload() { })));
    }

    void open(long client) {
        play(new Event.ClientConnected(client));
    }

    static Settings settings(long deadlineUs, JobClass... classes) {
        return new Settings(classes.length > 0 ? List.of(classes) :
                List.of(new JobClass(Dispatcher.Effect.UNSAFE, Group.ALL, 0, SECOND, deadlineUs, 1, -1, 1, 0)),
                List.of(), 0, 1, 0, false, true, 0, 5_000, new Limits(4, false, true, false, false, SECOND),
                new Rules(3 * SECOND, 20_000, 0.3, SECOND, 3, SECOND, 0), new Prices(0, 0, SECOND));
    }
}
