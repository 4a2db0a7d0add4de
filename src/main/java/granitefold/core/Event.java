package granitefold.core;

import granitefold.availability.AvailabilitySettings;
import granitefold.availability.RequestedMode;
import granitefold.recovery.LearnedState;

/** What the adapters report to the reducer. Connections go by numbers: clients' by theirs, workers' by the core's. */
public sealed interface Event {

    /** The sockets are open: {@code known} is the list of a former life, maybe old. */
    record SocketsOpened(WorkerList known, String discovery) implements Event { }

    /** A client has connected. */
    record ClientConnected(long client) implements Event { }

    /** On a client connection that was kept, a next request has begun to come. */
    record RequestStarted(long client) implements Event { }

    /** A client connection has brought more of a request, but not its end. */
    record RequestContinued(long client) implements Event { }

    /** A client connection has brought a whole request, which may have waited unread for so long: its client's time runs since it was sent. */
    record RequestArrived(long client, Submission submission, long unreadUs) implements Event {
        public RequestArrived(long client, Submission submission) {
            this(client, submission, 0);
        }
    }

    /** A client connection has brought something that needs no decision, and the adapter is answering it. */
    record AnsweredLocally(long client) implements Event { }

    /** An answer is out; {@code last}: the client was told to close. */
    record AnswerWritten(long client, boolean last) implements Event { }

    /** An idle client was told that no more is read: what it still sends is thrown away. */
    record ClientHalfClosed(long client) implements Event { }

    /** A client connection is gone, whoever ended it. */
    record ClientClosed(long client, CloseReason reason) implements Event {
        /** By the client. */
        public ClientClosed(long client) {
            this(client, CloseReason.CLIENT);
        }
    }

    /** A worker connection is up. */
    record WorkerConnected(long connection) implements Event { }

    /** Whatever had come when {@link Effect.PollSockets} was asked for has been reported. */
    record SocketsPolled(long connection) implements Event { }

    /** Nothing of an attempt's request was written, since its client has gone: {@link ClientClosed} was reported before. */
    record RequestNotSent(long connection) implements Event { }

    /** The last byte of an attempt's request has been written. */
    record RequestWritten(long connection) implements Event { }

    /** A worker has said something about the attempt on a connection. */
    record AttemptUpdated(long connection, AttemptUpdate update) implements Event { }

    /** A worker's whole answer has been read, to its end; {@code reusable}: the connection may carry another. */
    record WorkerAnswerEnded(long connection, boolean reusable) implements Event { }

    /** A worker connection has closed, broken, or never came up; {@code reason}: for the log. */
    record WorkerClosed(long connection, String reason) implements Event {
        public WorkerClosed(long connection) {
            this(connection, "closed");
        }
    }

    /** Discovery has sent a list, or only a sign of life ({@code list} is null). */
    record WatchUpdated(WorkerList list) implements Event { }

    /** The watch has ended. */
    record WatchEnded(String reason) implements Event { }

    /** The configuration was read anew: discovery is found at this address from now on. */
    record DiscoveryAddressChanged(String address) implements Event { }

    /** A sibling's datagram. */
    record SiblingMessage(int from, byte[] message) implements Event { }

    /** The program was told to end; {@code takenOver}: another process of this dispatcher serves at its addresses. */
    record ShutdownRequested(boolean takenOver) implements Event { }

    /**
     * All that had connected was taken in and read, and the listener is closed; not {@code emptied}: some of it could not be accepted
     * yet, and the listener stays open.
     */
    record ListenerClosed(boolean emptied) implements Event { }

    /** The process was measured. */
    record ResourcesSampled(ResourceUsage resources) implements Event { }

    /** An operator has asked for something. */
    record ModeRequested(RequestedMode mode) implements Event { }

    /** The operator's file was read anew, with other figures. */
    record AvailabilitySettingsChanged(AvailabilitySettings settings) implements Event { }

    /** What a former life learned has been read. */
    record StateRecovered(LearnedState learned) implements Event { }

    /** The process that served before this one passes on what it learned a moment ago. */
    record StateInherited(LearnedState learned) implements Event { }

    /** A probe of a worker has come to its end. */
    record ProbeEnded(long worker, boolean healthy, String reason) implements Event { }

    /** A time asked for by {@link Effect.WakeAt} has come. */
    record Woken() implements Event { }
}
