package granitefold.wire;

import granitefold.core.Payload;
import granitefold.core.Submission;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpURI;

/** A client's request as it is passed on to a worker: {@code forwardedHeaders} holds the headers that go on unchanged. */
public record ClientRequest(String method, String target, String txn, HttpFields forwardedHeaders, byte[] body)
        implements Payload {
    static final String TXN = "X-Txn", TENANT = "X-Org", REMAINING = "X-Remaining-Ms", KEY = "Idempotency-Key",
            ESTIMATE = "X-Estimate", LABELS = "X-Labels", TURNED_AWAY = "X-Turned-Away";
    /** Longest body that the protocol allows. */
    public static final int MAX_BODY_BYTES = 64 * 1024;
    private static final List<HttpHeader> OWN = List.of(HttpHeader.CONNECTION, HttpHeader.KEEP_ALIVE, HttpHeader.TE,
            HttpHeader.TRAILER, HttpHeader.TRANSFER_ENCODING, HttpHeader.UPGRADE, HttpHeader.EXPECT,
            HttpHeader.CONTENT_LENGTH, HttpHeader.HOST);
    /** The protocol's own fields, each of which comes once at the most. */
    private static final Set<String> OURS = Stream.of(TXN, TENANT, REMAINING, KEY, ESTIMATE, LABELS, "X-Resent", "Host")
            .map(name -> name.toLowerCase(Locale.ROOT)).collect(Collectors.toUnmodifiableSet());
    private static final int NAME_MOST = 256;
    private static final String KEY_PARAMETER = "sid=";
    private static final int LABEL_MOST = 1000;

    /** Decodes a whole request into the job that it hands in. */
    public static Submission decode(String method, String target, HttpFields head, byte[] body, NamedSettings words)
            throws BadRequestException {
        HttpURI uri = uri(target);
        check(head);
        Integer jobClass = words.classes().get(classOf(uri.getPath()));
        if (jobClass == null) {
            throw new BadRequestException(404, "unknown class");
        }
        if (!method.equals("POST")) {
            throw new BadRequestException(400, "jobs come by POST");
        }
        String txn = head.get(TXN);
        if (txn == null || txn.isBlank() || txn.length() > NAME_MOST) {
            throw new BadRequestException(400, "no " + TXN);
        }
        Integer tenant = words.tenants().isEmpty() ? Integer.valueOf(0) : words.tenants().get(text(head.get(TENANT)));
        if (tenant == null) {
            throw new BadRequestException(400, "unknown tenant");
        }
        String key = head.get(KEY);
        if (words.keyed(jobClass) && (key == null || key.isBlank() || key.length() > NAME_MOST)) {
            throw new BadRequestException(400, "a job of this class needs " + KEY);
        }
        long remaining = whole(head.get(REMAINING), REMAINING, -1);
        if (remaining < 0) {
            throw new BadRequestException(400, "no " + REMAINING);
        }
        int slots = 1;
        int memory = 0;
        for (String label : text(head.get(LABELS)).split(",")) {
            int eq = label.indexOf('=');
            String name = eq < 0 ? "" : label.substring(0, eq).trim();
            if (name.equals("slots") || name.equals("needs")) {
                slots = label(label.substring(eq + 1));
            } else if (name.equals("memory") || name.equals("ramUnits")) {
                memory = label(label.substring(eq + 1));
            }
        }
        return new Submission(txn, jobClass, tenant, remaining * 1000, whole(head.get(ESTIMATE), ESTIMATE, 0), slots,
                memory, WireCodes.key(key(uri.getQuery())), new ClientRequest(method, target, txn, forwardedHeaders(head), body),
                words.keyed(jobClass) ? key : null);
    }

    /** The target, if it passes on to a worker just as it came. */
    private static HttpURI uri(String target) throws BadRequestException {
        try {
            HttpURI uri = HttpURI.from(target);
            if (target.startsWith("/") && visible(target) && target.equals(uri.getPathQuery())) {
                return uri;
            }
        } catch (IllegalArgumentException e) {
            // told below
        }
        throw new BadRequestException(400, "bad target");
    }

    /**
     * Refuses a head that a worker might read otherwise than we do: a field of ours that comes twice, or that is named
     * as the connection's own, or a value that is not text. Workers hang up on such, whatever else they do for us.
     */
    private static void check(HttpFields head) throws BadRequestException {
        Set<String> seen = new HashSet<>();
        for (HttpField field : head) {
            String name = field.getLowerCaseName();
            if (OURS.contains(name) && !seen.add(name) || !visible(field.getValue())) {
                throw new BadRequestException(400, "bad field " + name);
            }
        }
        for (String nominated : head.getCSV(HttpHeader.CONNECTION, false)) {
            if (OURS.contains(nominated.toLowerCase(Locale.ROOT))) {
                throw new BadRequestException(400, "bad field connection");
            }
        }
    }

    private static boolean visible(String text) {
        return text == null || text.chars().allMatch(c -> c >= ' ' && c <= '~' || c == '\t');
    }

    /** What concerns only the client's connection, or is worded anew for the worker, stays behind. */
    private static HttpFields forwardedHeaders(HttpFields head) {
        HttpFields.Mutable passed = HttpFields.build(head);
        for (String nominated : head.getCSV(HttpHeader.CONNECTION, false)) {
            passed.remove(nominated);
        }
        for (HttpHeader own : OWN) {
            passed.remove(own);
        }
        return passed.remove(REMAINING).asImmutable();
    }

    private static String classOf(String path) {
        int end = path.indexOf('/', 1);
        return end < 0 ? path.substring(1) : path.substring(1, end);
    }

    /** The query's {@code sid}: what the request is about; null if it does not say. */
    private static String key(String query) {
        return query == null ? null : Stream.of(query.split("&")).filter(p -> p.startsWith(KEY_PARAMETER))
                .findFirst().map(p -> p.substring(KEY_PARAMETER.length())).orElse(null);
    }

    private static String text(String value) {
        return value == null ? "" : value.trim();
    }

    private static long whole(String value, String name, long absent) throws BadRequestException {
        if (value == null) {
            return absent;
        }
        try {
            long v = Long.parseLong(value.trim());
            if (v >= 0 && v <= 1L << 40) {
                return v;
            }
        } catch (NumberFormatException e) {
            // answered below
        }
        throw new BadRequestException(400, name + " is not a whole number");
    }

    private static int label(String value) throws BadRequestException {
        try {
            double v = Double.parseDouble(value.trim());
            if (v >= 0 && v <= LABEL_MOST) {
                return (int) Math.ceil(v);
            }
        } catch (NumberFormatException e) {
            // answered below
        }
        throw new BadRequestException(400, LABELS + " holds a bad figure");
    }
}
