package granitefold.core;

import granitefold.Dispatcher;
import granitefold.Dispatcher.ListNews;
import granitefold.Dispatcher.Settings;
import granitefold.Dispatcher.State;
import granitefold.logging.LogEvent;
import granitefold.policy.Decide;
import granitefold.recovery.Learned;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * All state of a dispatcher and all changes to it: an event and the time go in, effects come out. It turns events
 * into the module's and the module's actions into effects, and it keeps the rules that need no decision: one final
 * answer for each request context by its deadline, and never two attempts of one out at once. Not thread-safe.
 */
public final class Reducer {
    /** With no worker known, the program starts to serve after this, if discovery has sent no word before. */
    static final long START_US = 500_000;
    /**
     * The agent of discovery is on this machine and answers at once, and what it has counts as told from the first moment of a
     * process. So long at the most requests wait for its first word; while discovery is down it has none.
     */
    static final long FIRST_WORD_US = 200_000;
    private static final long SWEEP_US = 500_000;

    private final Parts core;
    private final Requests requests;
    private final WorkerRegistry list;
    private final Attempts attempts;
    private Watch watch;
    private final Ending ending;
    private final Lifecycle lifecycle;
    private final long seed;
    private final Siblings siblings;
    /** Discovery has spoken, or the wait for its first word is over. */
    private boolean listKnown;
    /** Requests that came before. */
    private final Map<Long, Early> early = new LinkedHashMap<>();
    private long wakeAt = Long.MAX_VALUE;

    private record Early(Submission submission, long at) { }

    /** The limits that the settings for the module don't carry. */
    public record Bounds(int clientConnections, int requests, int workerConnections, long connectTimeoutUs,
            long idleCloseUs) { }

    public Reducer(Settings settings, Bounds bounds, long seed) {
        this(settings, bounds, seed, Extras.NONE);
    }

    public Reducer(Settings settings, Bounds bounds, long seed, Extras extras) {
        core = new Parts(bounds, extras.trace());
        core.guard = new ActionGuard(core, settings.classes(), settings.limits().secondCopies());
        ending = Ending.of(settings.classes());
        this.seed = seed;
        siblings = new Siblings(settings, core.timers, core.effects);
        requests = new Requests(core);
        lifecycle = new Lifecycle(core, requests, siblings, ending, this::handInEarly);
        list = new WorkerRegistry(core);
        attempts = new Attempts(core, requests, list);
        core.attendance = new Attendance(extras.availability(), bounds.clientConnections(), this, core.timers, core.effects);
        core.books = new Bookkeeper(extras.figures(), settings.classes().size(), this, core.timers, core.effects);
        core.health = extras.health() == null ? null : new WorkerHealth(extras.health(), seed, core.timers, core.effects);
        core.module = new Decide(settings, seed, new Sink(core, requests, attempts));
        core.recollection = extras.memory() == null ? null
                : new Recollection(extras.memory(), settings.classes(), core.module, core.timers, core.effects);
    }

    public Phase phase() {
        return lifecycle.phase();
    }

    // ---------------------------------------------------------------- what the dispatcher says of itself
    Dispatcher.Pressure pressure() {
        return core.module.pressure(core.now);
    }

    Dispatcher.Choice choice() {
        return core.module.choice(core.now);
    }

    /** Whether this process can serve, as far as it knows. */
    boolean ready() {
        return phase() == Phase.SERVING && listKnown;
    }

    double clientShare() {
        return (double) core.clients.size() / core.bounds.clientConnections();
    }

    int clients() {
        return core.clients.size();
    }

    int owed() {
        return requests.owed() + early.size();
    }

    /** So long after the word to end the process ends, whatever is left. */
    public long exitUs() {
        return ending.exitUs();
    }

    int workersDown() {
        return core.health == null ? 0 : core.health.down();
    }

    boolean panic() {
        return core.health != null && core.health.panic();
    }

    long listVersion() {
        return watch == null ? 0 : watch.version();
    }

    /** What the module has learned, as of the last event. */
    public Learned learned() {
        return core.module.learned(core.now);
    }

    /** What the event in hand has asked for so far: where taking it in has failed, that is still to be done. */
    public List<Effect> effects() {
        return Collections.unmodifiableList(core.effects);
    }

    /** Takes one event in; returns the effects it asks for, in order, in a list that stands until the next call. */
    public List<Effect> reduce(Event event, long time) {
        core.now = Math.max(core.now, time);
        core.effects.clear();
        handle(event);
        settle();
        for (LongConsumer due = core.timers.due(core.now); due != null; due = core.timers.due(core.now)) {
            due.accept(core.now);
            settle();
        }
        lifecycle.advance();
        if (core.timers.next() != wakeAt) {
            wakeAt = core.timers.next();
            core.effects.add(new Effect.WakeAt(wakeAt));
        }
        return Collections.unmodifiableList(core.effects);
    }

    private void settle() {
        while (!core.afterwards.isEmpty()) {
            core.afterwards.remove().run();
        }
    }

    private void handle(Event event) {
        if (event instanceof Event.Opened e) {
            opened(e.known(), e.discovery());
        } else if (event instanceof Event.ClientOpened e) {
            core.trace.clientOpened(e.client());
            core.clients.opened(e.client(), core.now);
        } else if (event instanceof Event.RequestBegun e) {
            core.clients.begun(e.client(), core.now);
        } else if (event instanceof Event.RequestGoesOn e) {
            core.clients.heard(e.client(), core.now);
        } else if (event instanceof Event.RequestArrived e) {
            core.clients.arrived(e.client(), core.now);
            if (listKnown) {
                requests.arrived(e.client(), e.submission(), core.now - e.unseenUs());
            } else {
                waitForWord(e.client(), new Early(e.submission(), core.now - e.unseenUs()));
            }
        } else if (event instanceof Event.AnsweredHere e) {
            core.clients.answering(e.client(), core.now);
        } else if (event instanceof Event.AnswerWritten e) {
            core.books.written(e.client());
            core.clients.written(e.client(), e.last(), core.now);
        } else if (event instanceof Event.ClientShut e) {
            core.clients.shut(e.client(), core.now);
        } else if (event instanceof Event.ClientClosed e) {
            core.trace.clientClosed(e.client(), e.reason());
            early.remove(e.client());
            core.books.closed(e.client());
            core.clients.closed(e.client());
            requests.clientGone(e.client());
        } else if (event instanceof Event.WorkerConnected e) {
            attempts.workerConnected(core.pool.get(e.connection()));
        } else if (event instanceof Event.Looked e && e.connection() == Effect.Look.NONE) {
            listKnown();
        } else if (event instanceof Event.Looked e && e.connection() == Effect.Look.ENDING) {
            lifecycle.looked();
        } else if (event instanceof Event.Looked e) {
            attempts.looked(core.pool.get(e.connection()));
        } else if (event instanceof Event.NotSent e) {
            attempts.notSent(core.pool.get(e.connection()));
        } else if (event instanceof Event.RequestWritten e) {
            core.books.dispatched();
            attempts.written(core.pool.get(e.connection()));
        } else if (event instanceof Event.WorkerSaid e) {
            attempts.workerSaid(core.pool.get(e.connection()), e.news());
        } else if (event instanceof Event.AnswerEnded e) {
            attempts.answerEnded(core.pool.get(e.connection()), e.reusable());
        } else if (event instanceof Event.WorkerClosed e) {
            attempts.workerClosed(core.pool.get(e.connection()), e.why());
        } else if (event instanceof Event.WatchNews e) {
            Watch.Heed heed = watch.heard(e.list(), !core.workers.isEmpty(), core.now);
            core.attendance.heard(heed == Watch.Heed.ALL, core.now);
            if (heed == Watch.Heed.ALL) {
                list.listed(e.list().whole() ? ListNews.WHOLE : ListNews.CHANGES, e.list());
            } else if (heed == Watch.Heed.DRAINS) {
                list.drained(e.list());
            }
            listKnown();
        } else if (event instanceof Event.WatchEnded e) {
            watch.ended(e.why(), core.now);
        } else if (event instanceof Event.DiscoveryMoved e) {
            watch.move(e.address(), core.now);
        } else if (event instanceof Event.SiblingSaid e) {
            if (!siblings.heard(e.from(), e.message(), core.now)) {
                core.module.heard(core.now, e.from(), e.message());
            }
        } else if (event instanceof Event.Terminated e) {
            lifecycle.terminated(e.relieved());
        } else if (event instanceof Event.ListenerClosed e) {
            lifecycle.listenerClosed(e.emptied());
        } else if (event instanceof Event.Sampled e) {
            core.attendance.sampled(e.resources(), core.now);
        } else if (event instanceof Event.Wished e) {
            core.attendance.wished(e.wish(), core.now);
        } else if (event instanceof Event.Retuned e) {
            core.attendance.retuned(e.availability());
        } else if (event instanceof Event.Recovered e && core.recollection != null) {
            core.recollection.recovered(e.learned(), core.workers.values().stream().map(p -> p.listed).toList(), core.now);
        } else if (event instanceof Event.Inherited e) {
            core.module.restore(core.now, e.learned());
            core.effects.add(new Effect.Log(LogEvent.HAND_OVER_RECEIVED, e.learned().workers().size(), e.learned().buckets().size()));
        } else if (event instanceof Event.Probed e && core.health != null) {
            list.judged(core.health.probed(e.worker(), e.well(), e.reason(), core.now));
        }
    }

    // ---------------------------------------------------------------- phases
    private void opened(WorkerList known, String discovery) {
        core.module.start(core.now);
        core.attendance.opened(core.now);
        list.listed(ListNews.SAVED, known);
        watch = new Watch(discovery, known.version(), seed, core.timers, core.effects);
        watch.open(core.now);
        if (core.workers.values().stream().anyMatch(p -> p.state == State.READY)) {
            // a start after a planned end or a crash: clients wait for it, and the last list is as good as it was
            lifecycle.serve();
        }
        // a busy loop, as after a start, may have it in its sockets by then
        core.timers.at(core.now + (phase() == Phase.SERVING ? FIRST_WORD_US : START_US),
                t -> core.effects.add(new Effect.Look(Effect.Look.NONE)));
        sweep(core.now);
        core.books.opened(core.now);
        if (core.recollection != null) {
            core.recollection.begin(core.now);
        }
        if (core.health != null) {
            core.health.begin(list::judged, core.workers, core.now);
        }
    }

    /** There is no better list to be had for now. */
    private void listKnown() {
        boolean first = !listKnown;
        listKnown = true;
        lifecycle.serve();
        handInEarly();
        if (first) {
            core.books.publish();
        }
    }

    private void handInEarly() {
        early.forEach((client, e) -> requests.arrived(client, e.submission(), e.at()));
        early.clear();
    }

    /** Holds a request until discovery's first word, or until there is only the time left for its answer. */
    private void waitForWord(long client, Early request) {
        early.put(client, request);
        long until = request.at() + request.submission().remainingUs() - Requests.ANSWER_US;
        core.timers.at(Math.max(core.now, until), t -> {
            if (early.remove(client, request)) {
                requests.arrived(client, request.submission(), request.at());
            }
        });
    }

    private void sweep(long at) {
        core.pool.sweep(core.workers.values(), at);
        core.timers.at(at + SWEEP_US, this::sweep);
    }
}
