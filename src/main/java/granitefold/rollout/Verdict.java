package granitefold.rollout;

/** What a comparison comes to, and why. */
public record Verdict(Kind kind, String why) {

    /** Which way it goes. */
    public enum Kind {
        /** No worse than is borne, for sure. */
        GOOD,
        /** Worse, for sure. */
        WORSE,
        /** Neither, so far. */
        INCONCLUSIVE
    }
}
