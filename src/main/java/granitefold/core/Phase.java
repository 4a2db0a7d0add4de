package granitefold.core;

/** The program's phases, in their order. */
public enum Phase {
    /** No worker is known yet: waits for the first list of discovery; requests are accepted already. */
    STARTING,
    /** In service; health checks report ready. */
    SERVING,
    /** Shutting down: clients are served a while longer, since most have no better dispatcher to go to. */
    DRAINING,
    /** The listener is closed; open requests get their final answers. */
    FINISHING,
    /** All requests are answered and clients told to close; data still in flight is read and discarded, since a reset would destroy the answer. */
    CLOSING,
    /** Nothing is left to do: the process may end. */
    STOPPED
}
