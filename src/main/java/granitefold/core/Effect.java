package granitefold.core;

import granitefold.figures.MetricsSnapshot;
import granitefold.logging.LogEvent;
import granitefold.recovery.LearnedState;

/** What the reducer asks the adapters to do. They perform the effects of an event in order. */
public sealed interface Effect {

    /** Write the final answer to a client connection; {@code close}: close the connection after it. */
    record Answer(long client, FinalAnswer answer, boolean close) implements Effect { }

    /** Time out a client whose request is incomplete: answer with an error if part of the request has arrived, then close. */
    record TimeOutClient(long client) implements Effect { }

    /** Close a client connection, unless a whole request turns out to have arrived on it. */
    record CloseClient(long client, CloseReason reason) implements Effect { }

    /** Report {@link Event.MemoryLow} if the memory for requests is nearly used up. */
    record CheckMemory() implements Effect { }

    /** Open a connection to a worker, under a number chosen by the core. */
    record ConnectWorker(long connection, String address) implements Effect { }

    /** Read everything that has arrived at the sockets by now, then report {@link Event.SocketsPolled}. */
    record PollSockets(long connection) implements Effect {
        /** Instead of a connection: while waiting for the first list of discovery. */
        static final long NO_CONNECTION = -1;
        /** Instead of a connection: during a graceful shutdown. */
        static final long SHUTDOWN = -2;

        /** Whether what clients have sent is to be read too. */
        public boolean includesClients() {
            return connection == SHUTDOWN;
        }
    }

    /**
     * Write an attempt's request, with the time that the dispatcher will wait, as of the write; or report
     * {@link Event.RequestNotSent} if the client turns out to have gone.
     */
    record SendRequest(long connection, long client, Payload payload, long expiresAt) implements Effect { }

    /** Close a worker connection; no event follows. */
    record CloseWorker(long connection) implements Effect { }

    /** Open a watch on discovery at an address, for changes after a version. */
    record OpenWatch(String address, long version) implements Effect { }

    /** Close the watch on discovery, if one is open; no event follows. */
    record CloseWatch() implements Effect { }

    /** Send a datagram to a sibling. */
    record SendToSibling(int sibling, byte[] message) implements Effect { }

    /** Report {@link Event.Woken} at a time; replaces the time requested before. */
    record WakeAt(long at) implements Effect { }

    /** Accept the connections that are pending, then close the listener and report {@link Event.ListenerClosed}. */
    record StopListening() implements Effect { }

    /** Half-close client connections that are idle between two requests, then read them to their end. */
    record HalfCloseIdleClients() implements Effect { }

    /** Half-close all client connections that have carried a request and are owed no answer; reject requests that have arrived in part. */
    record HalfCloseAllClients() implements Effect { }

    /** Close the socket for the siblings' datagrams: another process of this dispatcher receives them. */
    record CloseSiblingSocket() implements Effect { }

    /** Flush what is being written, then end the process. */
    record Stop() implements Effect { }

    /** Write an event to the log. */
    record Log(LogEvent event, Object... values) implements Effect { }

    /** Sample the resource usage of the process and report {@link Event.ResourcesSampled}. */
    record SampleResources() implements Effect { }

    /** Publish the status to balancers and operators. */
    record PublishReport(StatusReport report) implements Effect { }

    /** Publish metrics for the ops endpoint. */
    record PublishMetrics(MetricsSnapshot metrics) implements Effect { }

    /** Save the learned state for the next process. */
    record SaveState(LearnedState learned) implements Effect { }

    /** Probe a worker and report {@link Event.ProbeEnded}. */
    record StartProbe(long worker, String address) implements Effect { }

    /** Close a probe that is no longer needed or has timed out; no event follows. */
    record CancelProbe(long worker) implements Effect { }
}
