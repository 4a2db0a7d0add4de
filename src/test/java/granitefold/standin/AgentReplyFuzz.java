package granitefold.standin;

import com.code_intelligence.jazzer.junit.FuzzTest;
import granitefold.availability.AvailabilityStatus;
import granitefold.availability.AvailabilityReport;
import granitefold.wire.AgentLine;
import java.nio.charset.StandardCharsets;

/** Checks that an agent's line is a single line of ASCII that parses to the reported status, for any text as the reason. */
class AgentReplyFuzz {
    @FuzzTest(maxDuration = "8s")
    void lines(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        AgentReply.parse(text);
        AvailabilityStatus status = AvailabilityStatus.values()[bytes.length % AvailabilityStatus.values().length];
        int weight = status.acceptsTraffic() ? 1 + bytes.length % 100 : 0;
        boolean ready = bytes.length % 2 == 0;
        byte[] line = AgentLine.encode(new AvailabilityReport(status, weight, 7, false, text), ready);
        String sent = new String(line, StandardCharsets.US_ASCII);
        if (sent.indexOf('\n') != sent.length() - 1 || sent.chars().anyMatch(c -> c > '~') || sent.length() > 130) {
            throw new AssertionError("not one line of ASCII: " + sent);
        }
        AgentReply reply = AgentReply.parse(sent);
        boolean correct = status.acceptsTraffic()
                ? reply.weight() == weight && reply.maxconn() == 7 && reply.up() && ready == "ready".equals(reply.admin())
                : reply.weight() == -1 && (Boolean.FALSE.equals(reply.up()) || reply.admin() != null && !reply.admin().equals("ready"));
        if (!correct) {
            throw new AssertionError(status + " is parsed as " + reply + " from " + sent);
        }
    }
}
