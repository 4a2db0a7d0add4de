package granitefold.standin;

import java.util.Locale;

/**
 * An agent's reply as HAProxy parses it (configuration manual, 5.2, "agent-check"): words on the first line, separated by
 * spaces, tabs or commas, up to a {@code #}. Unknown words are ignored, as by HAProxy.
 *
 * @param weight percent; -1 where the reply holds none
 * @param maxconn connections; -1 where the reply holds none
 * @param up null where the reply does not say
 * @param admin "ready", "drain", "maint" or null
 */
record AgentReply(int weight, int maxconn, Boolean up, String admin) {
    static AgentReply parse(String reply) {
        int end = reply.indexOf('\n');
        String line = end < 0 ? reply : reply.substring(0, end);
        int hash = line.indexOf('#');
        int weight = -1;
        int maxconn = -1;
        Boolean up = null;
        String admin = null;
        for (String word : (hash < 0 ? line : line.substring(0, hash)).toLowerCase(Locale.ROOT).split("[ \t,\r]+")) {
            if (word.matches("\\d{1,3}%")) {
                weight = Math.min(256, Integer.parseInt(word.substring(0, word.length() - 1)));
            } else if (word.matches("maxconn:\\d{1,9}")) {
                maxconn = Integer.parseInt(word.substring("maxconn:".length()));
            } else if (word.equals("up")) {
                up = true;
            } else if (word.equals("down") || word.equals("fail") || word.equals("failed") || word.equals("stopped")) {
                up = false;
            } else if (word.equals("ready") || word.equals("drain") || word.equals("maint")) {
                admin = word;
            }
        }
        return new AgentReply(weight, maxconn, up, admin);
    }
}
