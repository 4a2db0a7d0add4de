package granitefold.core;

import granitefold.availability.AvailabilitySettings;
import granitefold.availability.RequestedMode;
import granitefold.recovery.LearnedState;

/** What the adapters report to the reducer. The adapters number client connections, the core numbers worker connections. */
public sealed interface Event {

    /** The sockets are open. {@code known} is the saved worker list of a previous process, possibly outdated. */
    record SocketsOpened(WorkerList known, String discovery) implements Event { }

    /** A client has connected. */
    record ClientConnected(long client) implements Event { }

    /** The first bytes of another request have arrived on a kept client connection; {@code heldBytes} are reserved for them. They waited unread for {@code unreadUs}. */
    record RequestStarted(long client, int heldBytes, long unreadUs) implements Event {
        /** Nothing is reserved for it. */
        public RequestStarted(long client) {
            this(client, 0, 0);
        }
    }

    /** More of a request has arrived on a client connection, but not its end; {@code heldBytes} are reserved for all of it. It waited unread for {@code unreadUs}. */
    record RequestContinued(long client, int heldBytes, long unreadUs) implements Event {
        /** Nothing is reserved for it. */
        public RequestContinued(long client) {
            this(client, 0, 0);
        }
    }

    /** The memory for requests is nearly used up. */
    record MemoryLow() implements Event { }

    /** A whole request has arrived on a client connection. It waited unread for {@code unreadUs}, which counts against its client's deadline. */
    record RequestArrived(long client, Submission submission, long unreadUs) implements Event {
        /** Creates an event for a request that was read at once. */
        public RequestArrived(long client, Submission submission) {
            this(client, submission, 0);
        }
    }

    /** A client has sent something that needs no decision; the adapter answers it with this status. */
    record AnsweredLocally(long client, int status) implements Event {
        /** Answered with 200. */
        public AnsweredLocally(long client) {
            this(client, 200);
        }
    }

    /** An answer has been written; {@code last}: it told the client to close. */
    record AnswerWritten(long client, boolean last) implements Event { }

    /** An idle client connection was half-closed: what the client still sends is discarded. */
    record ClientHalfClosed(long client) implements Event { }

    /** A client connection was closed by either side. */
    record ClientClosed(long client, CloseReason reason) implements Event {
        /** Closed by the client. */
        public ClientClosed(long client) {
            this(client, CloseReason.CLIENT);
        }
    }

    /** A worker connection is up. */
    record WorkerConnected(long connection) implements Event { }

    /** Everything that had arrived when {@link Effect.PollSockets} was requested has been reported. */
    record SocketsPolled(long connection) implements Event { }

    /** Nothing of an attempt's request was written because its client has gone; {@link ClientClosed} was reported before. */
    record RequestNotSent(long connection) implements Event { }

    /** The last byte of an attempt's request has been written. */
    record RequestWritten(long connection) implements Event { }

    /** A worker has reported on the attempt that a connection carries. */
    record AttemptUpdated(long connection, AttemptUpdate update) implements Event { }

    /** A worker's answer has been read to its end; {@code reusable}: the connection may carry another request. */
    record WorkerAnswerEnded(long connection, boolean reusable) implements Event { }

    /** A worker connection was closed, has broken, or could not be opened; {@code reason} is for the log. */
    record WorkerClosed(long connection, String reason) implements Event {
        /** Creates an event for a connection that the worker closed. */
        public WorkerClosed(long connection) {
            this(connection, "closed");
        }
    }

    /** Discovery has sent a list, or a heartbeat ({@code list} is null). */
    record WatchUpdated(WorkerList list) implements Event { }

    /** The watch on discovery has ended. */
    record WatchEnded(String reason) implements Event { }

    /** The configuration was reloaded and names another address of discovery. */
    record DiscoveryAddressChanged(String address) implements Event { }

    /** A sibling has sent a datagram. */
    record SiblingMessage(int from, byte[] message) implements Event { }

    /** The process was asked to shut down; {@code superseded}: another process of this dispatcher serves at its addresses. */
    record ShutdownRequested(boolean superseded) implements Event { }

    /**
     * All pending connections were accepted and read, and the listener is closed; not {@code emptied}: some could not be accepted
     * yet, and the listener stays open.
     */
    record ListenerClosed(boolean emptied) implements Event { }

    /** The resource usage of the process was sampled. */
    record ResourcesSampled(ResourceUsage resources) implements Event { }

    /** An operator has requested a mode of availability. */
    record ModeRequested(RequestedMode mode) implements Event { }

    /** The operator's file was reloaded with other availability settings. */
    record AvailabilitySettingsChanged(AvailabilitySettings settings) implements Event { }

    /** The saved state of a previous process has been read. */
    record StateRecovered(LearnedState learned) implements Event { }

    /** The process that this one replaces has handed over its learned state, which is current and needs no aging. */
    record StateInherited(LearnedState learned) implements Event { }

    /** A probe of a worker has ended. */
    record ProbeEnded(long worker, boolean healthy, String reason) implements Event { }

    /** The time requested by {@link Effect.WakeAt} has come. */
    record Woken() implements Event { }
}
