package granitefold.wire;

/** Thrown when a message, a file or a configured address is invalid or cannot be used; the message says why in one line. */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public InvalidInputException(String message) {
        super(message);
    }
}
