package granitefold.standin.faults;

/** Error numbers of Linux. */
public enum Errno {
    EINTR(4), EIO(5), ENFILE(23), ENOSPC(28), EADDRNOTAVAIL(99), ENETUNREACH(101), ECONNABORTED(103), ENOBUFS(105), ETIMEDOUT(110), EHOSTUNREACH(113);

    private final int number;

    Errno(int number) {
        this.number = number;
    }

    /** Returns the value of {@code errno}. */
    public int number() {
        return number;
    }
}
