package granitefold.standin.faults;

/** The faults that the preloaded library can inject, in the order of their slots in the control file. */
public enum SystemCallFault {
    /** {@code accept} fails; the slot's value is the errno. */
    ACCEPT,
    /** {@code socket} fails; the slot's value is the errno. */
    SOCKET,
    /** {@code connect} fails; the slot's value is the errno. */
    CONNECT,
    /** {@code epoll_wait} is interrupted by a signal (EINTR). */
    WAIT,
    /** A read from a stream socket returns only a part of the available bytes. */
    SHORT_READ,
    /** A write to a stream socket writes only a part of the bytes. */
    SHORT_WRITE,
    /** A read from an outgoing connection fails and the connection is shut down; the slot's value is the errno. */
    BROKEN_READ,
    /** A write to a file fails; the slot's value is the errno. */
    STORAGE_WRITE,
    /** A sync of a file fails; the slot's value is the errno. */
    STORAGE_SYNC,
    /** The wall clock is off by the slot's value, in seconds. */
    WALL_CLOCK,
    /** A write to a stream socket is delayed by the slot's value, in milliseconds. */
    HELD_WRITE,
    /** A read from a stream socket, or a write to one, is interrupted by a signal before its first byte (EINTR). */
    INTERRUPTED
}
