package granitefold.core;

import granitefold.availability.AvailabilitySettings;
import granitefold.availability.RequestedMode;
import granitefold.recovery.LearnedState;

/** What the adapters report to the reducer. Connections go by numbers: clients' by theirs, workers' by the core's. */
public sealed interface Event {

    /** The sockets are open: {@code known} is the list of a former life, maybe old. */
    record Opened(WorkerList known, String discovery) implements Event { }

    /** A client has connected. */
    record ClientOpened(long client) implements Event { }

    /** On a client connection that was kept, a next request has begun to come. */
    record RequestBegun(long client) implements Event { }

    /** A client connection has brought more of a request, but not its end. */
    record RequestGoesOn(long client) implements Event { }

    /** A client connection has brought a whole request, which may have waited unread for so long: its client's time runs since it was sent. */
    record RequestArrived(long client, Submission submission, long unseenUs) implements Event {
        public RequestArrived(long client, Submission submission) {
            this(client, submission, 0);
        }
    }

    /** A client connection has brought something that needs no decision, and the adapter is answering it. */
    record AnsweredHere(long client) implements Event { }

    /** An answer is out; {@code last}: the client was told to close. */
    record AnswerWritten(long client, boolean last) implements Event { }

    /** An idle client was told that no more is read: what it still sends is thrown away. */
    record ClientShut(long client) implements Event { }

    /** A client connection is gone, whoever ended it. */
    record ClientClosed(long client, CloseReason reason) implements Event {
        /** By the client. */
        public ClientClosed(long client) {
            this(client, CloseReason.CLIENT);
        }
    }

    /** A worker connection is up. */
    record WorkerConnected(long connection) implements Event { }

    /** Whatever had come when {@link Effect.Look} was asked for has been reported. */
    record Looked(long connection) implements Event { }

    /** Nothing of an attempt's request was written, since its client has gone: {@link ClientClosed} was reported before. */
    record NotSent(long connection) implements Event { }

    /** The last byte of an attempt's request has been written. */
    record RequestWritten(long connection) implements Event { }

    /** A worker has said something about the attempt on a connection. */
    record WorkerSaid(long connection, AttemptNews news) implements Event { }

    /** A worker's whole answer has been read, to its end; {@code reusable}: the connection may carry another. */
    record AnswerEnded(long connection, boolean reusable) implements Event { }

    /** A worker connection has closed, broken, or never came up; {@code why}: for the log. */
    record WorkerClosed(long connection, String why) implements Event {
        public WorkerClosed(long connection) {
            this(connection, "closed");
        }
    }

    /** Discovery has sent a list, or only a sign of life ({@code list} is null). */
    record WatchNews(WorkerList list) implements Event { }

    /** The watch has ended. */
    record WatchEnded(String why) implements Event { }

    /** The configuration was read anew: discovery is found at this address from now on. */
    record DiscoveryMoved(String address) implements Event { }

    /** A sibling's datagram. */
    record SiblingSaid(int from, byte[] message) implements Event { }

    /** The program was told to end; {@code relieved}: another process of this dispatcher serves at its addresses. */
    record Terminated(boolean relieved) implements Event { }

    /**
     * All that had connected was taken in and read, and the listener is closed; not {@code emptied}: some of it could not be accepted
     * yet, and the listener stays open.
     */
    record ListenerClosed(boolean emptied) implements Event { }

    /** The process was measured. */
    record Sampled(Resources resources) implements Event { }

    /** An operator has asked for something. */
    record Wished(RequestedMode wish) implements Event { }

    /** The operator's file was read anew, with other figures. */
    record Retuned(AvailabilitySettings availability) implements Event { }

    /** What a former life learned has been read. */
    record Recovered(LearnedState learned) implements Event { }

    /** The process that served before this one passes on what it learned a moment ago. */
    record Inherited(LearnedState learned) implements Event { }

    /** A probe of a worker has come to its end. */
    record Probed(long worker, boolean well, String reason) implements Event { }

    /** A time asked for by {@link Effect.WakeAt} has come. */
    record Woken() implements Event { }
}
