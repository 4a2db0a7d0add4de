package granitefold.wire;

/** A client's request is not what the protocol allows; it is answered with a status of its own. */
public final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1;
    private final int status;

    public BadRequestException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    public int status() {
        return status;
    }
}
