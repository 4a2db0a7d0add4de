package granitefold.wire;

/** Thrown for a client request that violates the protocol; carries the HTTP status of the answer. */
public final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1;
    private final int status;

    public BadRequestException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** Returns the HTTP status to answer with. */
    public int status() {
        return status;
    }
}
