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

/** A client's request as it is forwarded to a worker; {@code forwardedHeaders} are sent on unchanged. */
public record ClientRequest(String method, String target, String txn, HttpFields forwardedHeaders, byte[] body)
        implements Payload {
    static final String TXN = "X-Txn", TENANT = "X-Org", REMAINING = "X-Remaining-Ms", KEY = "Idempotency-Key",
            ESTIMATE = "X-Estimate", LABELS = "X-Labels", TURNED_AWAY = "X-Turned-Away";
    /** Maximum body length that the protocol allows. */
    public static final int MAX_BODY_BYTES = 64 * 1024;
    /** Headers that are not forwarded: they concern one connection only, or are generated anew for the worker. */
    private static final List<HttpHeader> HOP_BY_HOP = List.of(HttpHeader.CONNECTION, HttpHeader.KEEP_ALIVE, HttpHeader.TE,
            HttpHeader.TRAILER, HttpHeader.TRANSFER_ENCODING, HttpHeader.UPGRADE, HttpHeader.EXPECT,
            HttpHeader.CONTENT_LENGTH, HttpHeader.HOST);
    /** The headers of this protocol, in lower case. Each may occur at most once. */
    private static final Set<String> PROTOCOL_HEADERS = Stream.of(TXN, TENANT, REMAINING, KEY, ESTIMATE, LABELS, "X-Resent", "Host")
            .map(name -> name.toLowerCase(Locale.ROOT)).collect(Collectors.toUnmodifiableSet());
    private static final int MAX_NAME_CHARS = 256;
    private static final String ITEM_PARAMETER = "sid=";
    private static final int MAX_LABEL = 1000;

    /** Decodes a complete request into the job that it submits; throws if a header or the target is invalid. */
    public static Submission decode(String method, String target, HttpFields head, byte[] body, NamedSettings settings)
            throws BadRequestException {
        HttpURI uri = uri(target);
        check(head);
        Integer jobClass = settings.classes().get(classOf(uri.getPath()));
        if (jobClass == null) {
            throw new BadRequestException(404, "unknown class");
        }
        if (!method.equals("POST")) {
            throw new BadRequestException(400, "jobs come by POST");
        }
        String txn = head.get(TXN);
        if (txn == null || txn.isBlank() || txn.length() > MAX_NAME_CHARS) {
            throw new BadRequestException(400, "no " + TXN);
        }
        Integer tenant = settings.tenants().isEmpty() ? Integer.valueOf(0) : settings.tenants().get(text(head.get(TENANT)));
        if (tenant == null) {
            throw new BadRequestException(400, "unknown tenant");
        }
        String key = head.get(KEY);
        if (settings.keyed(jobClass) && (key == null || key.isBlank() || key.length() > MAX_NAME_CHARS)) {
            throw new BadRequestException(400, "a job of this class needs " + KEY);
        }
        long remaining = nonNegative(head.get(REMAINING), REMAINING, -1);
        if (remaining < 0) {
            throw new BadRequestException(400, "no " + REMAINING);
        }
        int slots = 1;
        int memory = 0;
        for (String label : text(head.get(LABELS)).split(",")) {
            int equalsAt = label.indexOf('=');
            String name = equalsAt < 0 ? "" : label.substring(0, equalsAt).trim();
            if (name.equals("slots") || name.equals("needs")) {
                slots = label(label.substring(equalsAt + 1));
            } else if (name.equals("memory") || name.equals("ramUnits")) {
                memory = label(label.substring(equalsAt + 1));
            }
        }
        return new Submission(txn, jobClass, tenant, remaining * 1000, nonNegative(head.get(ESTIMATE), ESTIMATE, 0), slots,
                memory, WireCodes.key(key(uri.getQuery())), new ClientRequest(method, target, txn, forwardedHeaders(head), body),
                settings.keyed(jobClass) ? key : null);
    }

    /** Parses the target; rejects one that would not reach a worker unchanged. */
    private static HttpURI uri(String target) throws BadRequestException {
        try {
            HttpURI uri = HttpURI.from(target);
            if (target.startsWith("/") && printable(target) && target.equals(uri.getPathQuery())) {
                return uri;
            }
        } catch (IllegalArgumentException e) {
            // reported below
        }
        throw new BadRequestException(400, "bad target");
    }

    /**
     * Rejects headers that a worker could interpret differently: a protocol header that is repeated or nominated by
     * {@code Connection}, or a value with non-printable characters. Workers close their connections on such a request,
     * regardless of other work that they do for this dispatcher.
     */
    private static void check(HttpFields head) throws BadRequestException {
        Set<String> seen = new HashSet<>();
        for (HttpField field : head) {
            String name = field.getLowerCaseName();
            if (PROTOCOL_HEADERS.contains(name) && !seen.add(name) || !printable(field.getValue())) {
                throw new BadRequestException(400, "bad field " + name);
            }
        }
        for (String nominated : head.getCSV(HttpHeader.CONNECTION, false)) {
            if (PROTOCOL_HEADERS.contains(nominated.toLowerCase(Locale.ROOT))) {
                throw new BadRequestException(400, "bad field connection");
            }
        }
    }

    private static boolean printable(String text) {
        return text == null || text.chars().allMatch(c -> c >= ' ' && c <= '~' || c == '\t');
    }

    /** Returns the headers without those that concern only the client's connection or are generated anew for the worker. */
    private static HttpFields forwardedHeaders(HttpFields head) {
        HttpFields.Mutable passed = HttpFields.build(head);
        for (String nominated : head.getCSV(HttpHeader.CONNECTION, false)) {
            passed.remove(nominated);
        }
        for (HttpHeader header : HOP_BY_HOP) {
            passed.remove(header);
        }
        return passed.remove(REMAINING).asImmutable();
    }

    /** Returns the first segment of the path, which names the job class. */
    private static String classOf(String path) {
        int end = path.indexOf('/', 1);
        return end < 0 ? path.substring(1) : path.substring(1, end);
    }

    /** Returns the {@code sid} parameter, which identifies the item that the request is about, or null if there is none. */
    private static String key(String query) {
        return query == null ? null : Stream.of(query.split("&")).filter(p -> p.startsWith(ITEM_PARAMETER))
                .findFirst().map(p -> p.substring(ITEM_PARAMETER.length())).orElse(null);
    }

    private static String text(String value) {
        return value == null ? "" : value.trim();
    }

    /** Parses a header with a non-negative integer; returns {@code absent} where there is no header. */
    private static long nonNegative(String value, String name, long absent) throws BadRequestException {
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

    /** Parses a label's number, rounded up. */
    private static int label(String value) throws BadRequestException {
        try {
            double v = Double.parseDouble(value.trim());
            if (v >= 0 && v <= MAX_LABEL) {
                return (int) Math.ceil(v);
            }
        } catch (NumberFormatException e) {
            // answered below
        }
        throw new BadRequestException(400, LABELS + " holds a bad figure");
    }
}
