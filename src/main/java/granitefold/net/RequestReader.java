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

/** Parses one request at a time from a client's input, up to its end or to the first error. */
final class RequestReader implements HttpParser.RequestHandler {
    private static final int MAX_HEAD_BYTES = 8192;

    private final HttpParser parser = new HttpParser(this, MAX_HEAD_BYTES, HttpCompliance.STRICT);
    /** Reserves memory for a number of body bytes, or releases it if negative; returns false if the limit is reached. */
    private final IntPredicate reserveBytes;
    private final Runnable sendContinue;
    private boolean complete;
    private boolean wantsClose;
    private String method;
    private String target;
    private HttpFields.Mutable headers;
    private ByteArrayOutputStream body;
    private BadRequestException error;
    /** The body bytes that are reserved for this request. */
    private int reservedBytes;

    /** @param sendContinue asks the client to send the body */
    RequestReader(IntPredicate reserveBytes, Runnable sendContinue) {
        this.reserveBytes = reserveBytes;
        this.sendContinue = sendContinue;
    }

    /** Consumes the input that belongs to the current request; returns true once it is complete or known to be invalid. */
    boolean read(ByteBuffer input) {
        parser.parseNext(input);
        return complete || error != null;
    }

    /** Returns whether nothing of the current request has arrived yet. */
    boolean isAtStart() {
        return parser.isStart();
    }

    /** Prepares for the next request. */
    void startNext() {
        complete = false;
        parser.reset();
    }

    /** Ends the current request as invalid, for this reason. */
    void fail(BadRequestException reason) {
        error = reason;
    }

    /** Releases the memory that is reserved for the current request. */
    void release() {
        reserveBytes.test(-reservedBytes);
        reservedBytes = 0;
    }

    /** Returns whether the client wants the connection closed after the response. */
    boolean wantsClose() {
        return wantsClose;
    }

    /** Returns whether it is a valid request for this target. */
    boolean isTarget(String path) {
        return error == null && target.equals(path);
    }

    /** Returns whether the request has a header field of this name and value. */
    boolean hasHeader(String name, String value) {
        return value.equalsIgnoreCase(headers.get(name));
    }

    /** Decodes the request; throws the error if it is invalid. */
    Submission decode(NamedSettings vocabulary) throws BadRequestException {
        if (error != null) {
            throw error;
        }
        Submission submission = ClientRequest.decode(method, target, headers, body.toByteArray(), vocabulary);
        body = null;
        return submission;
    }

    // ---------------------------------------------------------------- parser callbacks
    @Override
    public void startRequest(String method, String uri, HttpVersion version) {
        this.method = method;
        target = uri;
        headers = HttpFields.build();
        body = new ByteArrayOutputStream();
        wantsClose = version.compareTo(HttpVersion.HTTP_1_1) < 0;
    }

    @Override
    public void parsedHeader(HttpField field) {
        headers.add(field);
    }

    @Override
    public boolean headerComplete() {
        if (headers.contains(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString())) {
            wantsClose = true;
        }
        if (parser.getContentLength() > ClientRequest.MAX_BODY_BYTES) {
            error = new BadRequestException(413, "body too long");
            return true;
        }
        if (headers.contains(HttpHeader.EXPECT, HttpHeaderValue.CONTINUE.asString())) {
            sendContinue.run();
        }
        return false;
    }

    @Override
    public boolean content(ByteBuffer content) {
        if (body.size() + content.remaining() > ClientRequest.MAX_BODY_BYTES) {
            error = new BadRequestException(413, "body too long");
            return true;
        }
        if (!reserveBytes.test(content.remaining())) {
            error = new BadRequestException(503, "request bodies exceed the memory limit");
            return true;
        }
        reservedBytes += content.remaining();
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
        error = new BadRequestException(status >= 400 && status < 500 ? status : 400, "malformed request");
    }

    @Override
    public void earlyEOF() {
        // the parser reports an error after the head in this way
        error = new BadRequestException(400, "malformed body");
    }
}
