package granitefold.net;

import granitefold.core.Submission;
import granitefold.wire.BadRequestException;
import granitefold.wire.ClientRequest;
import granitefold.wire.NamedSettings;
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

/** Parses one request at a time from a client's input, up to its end or to the first error. */
final class RequestReader implements HttpParser.RequestHandler {
    private static final int MAX_HEAD_BYTES = 8192;
    /** The maximum of header and trailer fields: objects and parsing cost much more than the bytes of short ones. */
    private static final int MAX_FIELDS = 100;
    /** How often the bytes of a head are held: in buffers of the parser, twice their length at most, as text, and as sent to a worker. */
    private static final int HEAD_COPIES = 4;
    /** What the objects of a field take beside its text, in bytes. */
    private static final int FIELD_OBJECT_BYTES = 160;
    /** A parser keeps its buffers; after a head longer than this it is replaced. */
    private static final int MAX_RETAINED_HEAD_BYTES = 1024;

    private final RequestMemory memory;
    private HttpParser parser = newParser();
    private final Runnable sendContinue;
    private boolean complete;
    private boolean wantsClose;
    private String method;
    private String target;
    private HttpFields.Mutable headers;
    /** Null until the head is complete, and once the request is decoded or known to be invalid. */
    private RequestBody body;
    private BadRequestException error;
    private int fieldCount;
    /** What is accounted for the head so far. */
    private int headMemoryBytes;

    /**
     * @param reserveBytes reserves memory for a number of bytes, or releases it if negative; returns false if the limit is reached
     * @param sendContinue asks the client to send the body
     */
    RequestReader(IntPredicate reserveBytes, Runnable sendContinue) {
        memory = new RequestMemory(reserveBytes);
        this.sendContinue = sendContinue;
    }

    private HttpParser newParser() {
        HttpParser created = new HttpParser(this, MAX_HEAD_BYTES, HttpCompliance.STRICT);
        // it would take 100 KB of each connection
        created.setHeaderCacheSize(0);
        return created;
    }

    /** Consumes the input that belongs to the current request; returns true once it is complete or known to be invalid. */
    boolean read(ByteBuffer input) {
        parser.parseNext(input);
        accountForHead();
        return complete || error != null;
    }

    private void accountForHead() {
        int bytes = HEAD_COPIES * parser.getHeaderLength() + FIELD_OBJECT_BYTES * fieldCount;
        if (error == null && !memory.add(bytes - headMemoryBytes)) {
            fail(new BadRequestException(503, "request heads exceed the memory limit"));
        } else if (error == null) {
            headMemoryBytes = bytes;
        }
    }

    /** Returns whether nothing of the current request has arrived yet. */
    boolean isAtStart() {
        return parser.isStart();
    }

    /** Prepares for the next request. */
    void startNext() {
        complete = false;
        fieldCount = 0;
        drop();
        if (parser.getHeaderLength() > MAX_RETAINED_HEAD_BYTES) {
            parser = newParser();
        } else {
            parser.reset();
        }
    }

    /** Ends the current request as invalid, for this reason; what was received of it is dropped. */
    void fail(BadRequestException reason) {
        if (error == null) {
            error = reason;
        }
        drop();
        release();
    }

    /** Returns whether the current request is known to be invalid. */
    boolean failed() {
        return error != null;
    }

    private void drop() {
        body = null;
        headers = null;
        target = null;
    }

    /** Releases the memory that is reserved for the current request. */
    void release() {
        memory.release();
        headMemoryBytes = 0;
    }

    /** Returns the bytes that are reserved for the current request. */
    int reservedBytes() {
        return memory.reservedBytes();
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
        return headers != null && value.equalsIgnoreCase(headers.get(name));
    }

    /** Decodes the request; throws the error if it is invalid. */
    Submission decode(NamedSettings vocabulary) throws BadRequestException {
        if (error != null) {
            throw error;
        }
        Submission submission = ClientRequest.decode(method, target, headers, body.complete(), vocabulary);
        // an idle connection must not hold its last request
        drop();
        return submission;
    }

    // ---------------------------------------------------------------- parser callbacks
    @Override
    public void startRequest(String method, String uri, HttpVersion version) {
        this.method = method;
        target = uri;
        headers = HttpFields.build();
        wantsClose = version.compareTo(HttpVersion.HTTP_1_1) < 0;
    }

    @Override
    public void parsedHeader(HttpField field) {
        if (hasRoomForField()) {
            headers.add(field);
        }
    }

    @Override
    public void parsedTrailer(HttpField field) {
        hasRoomForField();
    }

    private boolean hasRoomForField() {
        fieldCount++;
        if (error == null && fieldCount > MAX_FIELDS) {
            fail(new BadRequestException(431, "too many fields"));
        }
        return error == null;
    }

    @Override
    public boolean headerComplete() {
        if (error != null) {
            return true;
        }
        if (headers.contains(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString())) {
            wantsClose = true;
        }
        if (parser.getContentLength() > ClientRequest.MAX_BODY_BYTES) {
            fail(new BadRequestException(413, "body too long"));
            return true;
        }
        body = new RequestBody(memory, parser.getContentLength() < 0 ? ClientRequest.MAX_BODY_BYTES : (int) parser.getContentLength());
        if (headers.contains(HttpHeader.EXPECT, HttpHeaderValue.CONTINUE.asString())) {
            sendContinue.run();
        }
        return false;
    }

    @Override
    public boolean content(ByteBuffer content) {
        if (error != null) {
            return true;
        }
        if (!body.hasRoomFor(content.remaining())) {
            fail(new BadRequestException(413, "body too long"));
        } else if (!body.append(content)) {
            fail(new BadRequestException(503, "request bodies exceed the memory limit"));
        }
        return error != null;
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
        fail(new BadRequestException(status >= 400 && status < 500 ? status : 400, "malformed request"));
    }

    @Override
    public void earlyEOF() {
        // the parser reports an error after the head in this way
        fail(new BadRequestException(400, "malformed body"));
    }
}
