package granitefold.net;

import granitefold.core.Submission;
import granitefold.wire.BadRequestException;
import granitefold.wire.ClientRequest;
import granitefold.wire.NamedSettings;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.IntPredicate;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.util.BufferUtil;

/** Takes one request at a time from a client's bytes, up to its end or to what shows that it is bad. */
final class RequestReader implements HttpParser.RequestHandler {
    private static final int HEAD_MOST = 8192;

    private final HttpParser parser = new HttpParser(this, HEAD_MOST, HttpCompliance.STRICT);
    /** Takes so many bytes of body into hand, or gives them back; false where that is too many. */
    private final IntPredicate hold;
    private final Runnable goOn;
    private boolean complete;
    private boolean close;
    private String method;
    private String target;
    private HttpFields.Mutable head;
    private ByteArrayOutputStream body;
    private BadRequestException bad;
    /** Bytes of body that count as held for this request. */
    private int held;

    /** {@code goOn} tells a client to send its body. */
    RequestReader(IntPredicate hold, Runnable goOn) {
        this.hold = hold;
        this.goOn = goOn;
    }

    /** Takes in as much as belongs to the present request; true once it is whole, or known to be bad. */
    boolean read(ByteBuffer in) {
        parser.parseNext(in);
        return complete || bad != null;
    }

    /** Nothing of a request has come yet. */
    boolean isStart() {
        return parser.isStart();
    }

    /** The next request may come. */
    void next() {
        complete = false;
        parser.reset();
    }

    /** The request is not to be waited for any longer, for this reason. */
    void giveUp(BadRequestException why) {
        bad = why;
    }

    void release() {
        hold.test(-held);
        held = 0;
    }

    /** The client wants its connection closed after the answer. */
    boolean wantsClose() {
        return close;
    }

    /** Whether it is a good request for this target. */
    boolean isFor(String path) {
        return bad == null && target.equals(path);
    }

    boolean asks(String field, String value) {
        return value.equalsIgnoreCase(head.get(field));
    }

    Submission decode(NamedSettings words) throws BadRequestException {
        if (bad != null) {
            throw bad;
        }
        Submission s = ClientRequest.decode(method, target, head, body.toByteArray(), words);
        body = null;
        return s;
    }

    // ---------------------------------------------------------------- what the parser finds
    @Override
    public void startRequest(String method, String uri, HttpVersion version) {
        this.method = method;
        target = uri;
        head = HttpFields.build();
        body = new ByteArrayOutputStream();
        close = version.compareTo(HttpVersion.HTTP_1_1) < 0;
    }

    @Override
    public void parsedHeader(HttpField field) {
        head.add(field);
    }

    @Override
    public boolean headerComplete() {
        if (head.contains(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString())) {
            close = true;
        }
        if (parser.getContentLength() > ClientRequest.MAX_BODY_BYTES) {
            bad = new BadRequestException(413, "body too long");
            return true;
        }
        if (head.contains(HttpHeader.EXPECT, HttpHeaderValue.CONTINUE.asString())) {
            goOn.run();
        }
        return false;
    }

    @Override
    public boolean content(ByteBuffer content) {
        if (body.size() + content.remaining() > ClientRequest.MAX_BODY_BYTES) {
            bad = new BadRequestException(413, "body too long");
            return true;
        }
        if (!hold.test(content.remaining())) {
            bad = new BadRequestException(503, "too much in hand");
            return true;
        }
        held += content.remaining();
        byte[] part = BufferUtil.toArray(content);
        content.position(content.limit());
        body.write(part, 0, part.length);
        return false;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        complete = true;
        return true;
    }

    @Override
    public void badMessage(HttpException failure) {
        int status = failure.getCode();
        bad = new BadRequestException(status >= 400 && status < 500 ? status : 400, "malformed request");
    }

    @Override
    public void earlyEOF() {
        // so the parser calls what is malformed behind the head
        bad = new BadRequestException(400, "malformed body");
    }
}
