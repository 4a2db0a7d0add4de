package granitefold.standin;

import com.code_intelligence.jazzer.junit.FuzzTest;
import granitefold.availability.AvailabilityStatus;
import granitefold.availability.AvailabilityReport;
import granitefold.wire.AgentLine;
import java.nio.charset.StandardCharsets;

/** Whatever the reason holds, an agent's line is one line of ASCII that says what it should and nothing else. */
class AgentReplyFuzz {
    @FuzzTest(maxDuration = "8s")
    void lines(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        AgentReply.parse(text);
        AvailabilityStatus standing = AvailabilityStatus.values()[bytes.length % AvailabilityStatus.values().length];
        int weight = standing.acceptsTraffic() ? 1 + bytes.length % 100 : 0;
        boolean ready = bytes.length % 2 == 0;
        byte[] line = AgentLine.encode(new AvailabilityReport(standing, weight, 7, false, text), ready);
        String said = new String(line, StandardCharsets.US_ASCII);
        if (said.indexOf('\n') != said.length() - 1 || said.chars().anyMatch(c -> c > '~') || said.length() > 130) {
            throw new AssertionError("not one line of ASCII: " + said);
        }
        AgentReply r = AgentReply.parse(said);
        boolean right = standing.acceptsTraffic() ? r.weight() == weight && r.maxconn() == 7 && r.up() && ready == "ready".equals(r.admin())
                : r.weight() == -1 && (Boolean.FALSE.equals(r.up()) || r.admin() != null && !r.admin().equals("ready"));
        if (!right) {
            throw new AssertionError(standing + " is read as " + r + " from " + said);
        }
    }
}
