package granitefold.core;

import granitefold.figures.MetricsSnapshot;
import granitefold.logging.LogEvent;
import granitefold.recovery.LearnedState;

/** What the reducer asks the adapters to do, in this order. */
public sealed interface Effect {

    /** Give a client connection its final answer; {@code close} it after that. */
    record Answer(long client, FinalAnswer answer, boolean close) implements Effect { }

    /** A client has taken too long over its request: tell it so, if it has sent any of it, and close. */
    record TimeOutClient(long client) implements Effect { }

    /** Close a client connection, unless a request of it turns out to have come whole. */
    record CloseClient(long client, CloseReason reason) implements Effect { }

    /** Open a connection to a worker; the core numbers it. */
    record ConnectWorker(long connection, String address) implements Effect { }

    /** Go through all that has come to the sockets by now, then report {@link Event.SocketsPolled}. */
    record PollSockets(long connection) implements Effect {
        /** On behalf of no connection. */
        static final long NO_CONNECTION = -1;
        /** On behalf of a planned end. */
        static final long SHUTDOWN = -2;
    }

    /**
     * Write an attempt's request, which says how long the dispatcher will wait, as of the write; or report {@link Event.RequestNotSent}, if the client
     * turns out to have gone.
     */
    record SendRequest(long connection, long client, Payload payload, long expiresAt) implements Effect { }

    /** Close a worker connection; no event follows. */
    record CloseWorker(long connection) implements Effect { }

    /** Open a watch on discovery, at this address, for what changed after a version. */
    record OpenWatch(String address, long version) implements Effect { }

    /** Close the watch, if there is one; no event follows. */
    record CloseWatch() implements Effect { }

    /** Send a datagram to a sibling. */
    record SendToSibling(int sibling, byte[] message) implements Effect { }

    /** Report {@link Event.Woken} at a time; replaces the one asked for before. */
    record WakeAt(long at) implements Effect { }

    /** Take in what has connected by now, then close the listener; report {@link Event.ListenerClosed}. */
    record StopListening() implements Effect { }

    /** Tell clients that rest between two requests that no more is read, then read their connections out. */
    record HalfCloseIdleClients() implements Effect { }

    /** The same for all clients that have been answered before; who has sent a part of a request is told that it is rejected. */
    record HalfCloseAllClients() implements Effect { }

    /** Leave the siblings' datagrams to another process of this dispatcher. */
    record CloseSiblingSocket() implements Effect { }

    /** All is done: flush what is being written, then end the process. */
    record Stop() implements Effect { }

    /** Write an event to the log. */
    record Log(LogEvent event, Object... values) implements Effect { }

    /** Measure the process and report {@link Event.ResourcesSampled}. */
    record SampleResources() implements Effect { }

    /** Tell balancers and operators how the dispatcher stands. */
    record PublishReport(StatusReport report) implements Effect { }

    /** Show these figures to whoever asks. */
    record PublishFigures(MetricsSnapshot figures) implements Effect { }

    /** Keep what was learned, where it outlives the process. */
    record SaveState(LearnedState learned) implements Effect { }

    /** Probe a worker and report {@link Event.ProbeEnded}. */
    record StartProbe(long worker, String address) implements Effect { }

    /** A probe has taken too long: close it; no event follows. */
    record CancelProbe(long worker) implements Effect { }
}
