package granitefold.standin.edge;

/**
 * What is wrong with an edge. Of a connection nothing is ever lost or reordered, as TCP has it: bytes come late or not
 * until the fault is over. Datagrams may be lost, doubled and overtaken.
 *
 * @param thereCut nothing passes from the opener on
 * @param backCut nothing passes back to the opener
 * @param delayMs added to each way
 * @param jitterMs at the most so much more, drawn anew for each piece
 * @param loss share of datagrams that never arrive
 * @param doubled share of datagrams that arrive twice
 * @param overtaken share of datagrams that are held for twice the delay and 20 ms more, so that later ones pass them
 * @param dripBytesPerS each way carries no more than so many bytes a second; 0: any number
 * @param refuses new connections are reset
 */
public record Fault(boolean thereCut, boolean backCut, long delayMs, long jitterMs, double loss, double doubled,
        double overtaken, long dripBytesPerS, boolean refuses) {

    /** Nothing is wrong. */
    public static final Fault NONE = new Fault(false, false, 0, 0, 0, 0, 0, 0, false);
    /** Silence, both ways: connections stay open. */
    public static final Fault CUT = new Fault(true, true, 0, 0, 0, 0, 0, 0, false);
    /** Silence towards who is reached. */
    public static final Fault CUT_FORWARD = new Fault(true, false, 0, 0, 0, 0, 0, 0, false);
    /** Silence towards the opener. */
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

    boolean cut(boolean there) {
        return there ? thereCut : backCut;
    }
}
