package granitefold.rollout;

/** Result of a {@link Comparison} and its reason. */
public record Verdict(Kind kind, String why) {

    /** Outcome of a comparison. */
    public enum Kind {
        /** Every metric is no worse than its margin allows, at the required confidence. */
        GOOD,
        /** A metric is worse, at the required confidence. */
        WORSE,
        /** Neither has been shown yet. */
        INCONCLUSIVE
    }
}
