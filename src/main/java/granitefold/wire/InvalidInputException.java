package granitefold.wire;

/** The input is not what the wire allows. */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public InvalidInputException(String message) {
        super(message);
    }
}
