package granitefold.wire;

import granitefold.availability.AvailabilityReport;
import java.nio.charset.StandardCharsets;

/**
 * Encodes an answer to HAProxy's agent-check (configuration manual, 5.2, "agent-check"): one line of ASCII keywords. A
 * percentage and {@code maxconn:} act on their own; {@code up}, {@code down}, {@code stopped} and {@code fail} set the
 * operational state; {@code ready}, {@code drain} and {@code maint} the administrative one; a text after {@code #} is logged.
 */
public final class AgentLine {
    /** HAProxy reads only the first line and keeps its own descriptions equally short. */
    private static final int MAX_REASON_CHARS = 80;

    private AgentLine() { }

    /**
     * Encodes an availability report. With {@code ready}, the line also revokes an earlier {@code drain} or {@code maint}.
     * It is not sent permanently, because it would also revoke the state that an operator has set in HAProxy.
     */
    public static byte[] encode(AvailabilityReport availability, boolean ready) {
        String keywords = switch (availability.status()) {
            case STARTING -> "down";
            case DRAINING -> "drain";
            case MAINT -> "maint";
            case STOPPED -> "stopped";
            default -> (ready ? "ready " : "") + "up " + availability.weightPercent() + "% maxconn:" + availability.maxConnections();
        };
        return line(keywords, availability.reason());
    }

    /** Returns the line for an event loop that has stopped publishing its state, so that the last state may be stale. */
    public static byte[] silent() {
        return line("fail", "the loop is silent");
    }

    /** Returns the line for a process that has not published any state yet. */
    public static byte[] starting() {
        return line("down", "starting");
    }

    private static byte[] line(String keywords, String reason) {
        String text = reason.replaceAll("[^ -~]", "?");
        return (keywords + " #" + text.substring(0, Math.min(MAX_REASON_CHARS, text.length())) + "\n")
                .getBytes(StandardCharsets.US_ASCII);
    }
}
