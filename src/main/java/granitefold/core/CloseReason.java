package granitefold.core;

/** Why a client connection was closed. */
public enum CloseReason {
    /** The client closed it or shut its sending side. */
    CLIENT,
    /** The connection broke. */
    BROKEN,
    /** The client sent more data ahead of an answer than is buffered. */
    FLOOD,
    /** Its PROXY header was missing or malformed. */
    NO_PROXY_HEADER,
    /** The client was told to close and did not do so in time. */
    LINGERED,
    /** The client did not send a request, or read its answer, in time. */
    TIMED_OUT,
    /** It was closed to make room for a new connection. */
    NO_ROOM,
    /** It was silent within a request whose memory others needed. */
    NO_MEMORY
}
