package granitefold.standin.edge;

/**
 * The faults that are injected on an edge. Bytes of a connection are never lost or reordered, as TCP guarantees: they arrive
 * late, or only after the fault has ended. Datagrams may be lost, duplicated and reordered.
 *
 * @param thereCut nothing passes from the opener to the other side
 * @param backCut nothing passes from the other side to the opener
 * @param delayMs delay added in each direction
 * @param jitterMs maximum random delay added to {@code delayMs}, drawn for each chunk of bytes or datagram
 * @param loss share of datagrams that are dropped
 * @param doubled share of datagrams that are delivered twice
 * @param overtaken share of datagrams that are held for twice the delay plus 20 ms, so that later ones overtake them
 * @param dripBytesPerS maximum bytes per second in each direction; 0: no limit
 * @param refuses whether new connections are reset
 */
public record Fault(boolean thereCut, boolean backCut, long delayMs, long jitterMs, double loss, double doubled,
        double overtaken, long dripBytesPerS, boolean refuses) {

    /** No fault. */
    public static final Fault NONE = new Fault(false, false, 0, 0, 0, 0, 0, 0, false);
    /** Nothing passes in either direction; connections stay open. */
    public static final Fault CUT = new Fault(true, true, 0, 0, 0, 0, 0, 0, false);
    /** Nothing passes from the opener to the other side. */
    public static final Fault CUT_FORWARD = new Fault(true, false, 0, 0, 0, 0, 0, 0, false);
    /** Nothing passes from the other side to the opener. */
    public static final Fault CUT_BACKWARD = new Fault(false, true, 0, 0, 0, 0, 0, 0, false);
    /** New connections are reset at once. */
    public static final Fault REFUSING = new Fault(false, false, 0, 0, 0, 0, 0, 0, true);

    public static Fault delayed(long ms, long jitterMs) {
        return new Fault(false, false, ms, jitterMs, 0, 0, 0, 0, false);
    }

    public static Fault lossy(double loss, double doubled, double overtaken) {
        return new Fault(false, false, 0, 0, loss, doubled, overtaken, 0, false);
    }

    public static Fault throttled(long bytesPerS) {
        return new Fault(false, false, 0, 0, 0, 0, 0, bytesPerS, false);
    }

    boolean cut(boolean forward) {
        return forward ? thereCut : backCut;
    }
}
