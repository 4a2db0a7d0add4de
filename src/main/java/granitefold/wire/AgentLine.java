package granitefold.wire;

import granitefold.availability.AvailabilityReport;
import java.nio.charset.StandardCharsets;

/**
 * An answer to HAProxy's agent-check (configuration manual, 5.2, "agent-check"): one line of ASCII words. A percentage
 * and {@code maxconn:} act on their own; {@code up}, {@code down}, {@code stopped} and {@code fail} set the operational
 * state; {@code ready}, {@code drain} and {@code maint} the administrative one; a text behind {@code #} goes to the log.
 */
public final class AgentLine {
    /** The manual: only the first line counts; the description is kept short as HAProxy keeps its own. */
    private static final int REASON_MOST = 80;

    private AgentLine() { }

    /**
     * The line for a verdict. {@code ready}: also withdraw a {@code drain} or {@code maint} said before. It is not said
     * for good, since it would also withdraw what HAProxy's own operator has set.
     */
    public static byte[] encode(AvailabilityReport v, boolean ready) {
        String words = switch (v.status()) {
            case STARTING -> "down";
            case DRAINING -> "drain";
            case MAINT -> "maint";
            case STOPPED -> "stopped";
            default -> (ready ? "ready " : "") + "up " + v.weightPercent() + "% maxconn:" + v.maxConnections();
        };
        return line(words, v.reason());
    }

    /** The loop has said nothing for too long: what was published may be long untrue. */
    public static byte[] silent() {
        return line("fail", "the loop is silent");
    }

    /** Nothing was published yet. */
    public static byte[] starting() {
        return line("down", "starting");
    }

    private static byte[] line(String words, String reason) {
        String text = reason.replaceAll("[^ -~]", "?");
        return (words + " #" + text.substring(0, Math.min(REASON_MOST, text.length())) + "\n")
                .getBytes(StandardCharsets.US_ASCII);
    }
}
