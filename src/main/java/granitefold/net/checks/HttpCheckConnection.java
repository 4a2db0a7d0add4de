package granitefold.net.checks;

import granitefold.wire.HttpMessages;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;

/** A connection with health checks over HTTP/1.1: GET and HEAD without a body, one after another on a persistent connection. */
final class HttpCheckConnection extends CheckConnection implements HttpParser.RequestHandler {
    private static final int MAX_HEAD_BYTES = 4096;

    /** Answers a request target, a path with its query. */
    interface Answers {
        Answer to(String target);
    }

    record Answer(int status, HttpFields fields, byte[] body) {
        static Answer text(int status, String text) {
            return new Answer(status, HttpFields.build().put(HttpHeader.CONTENT_TYPE, "text/plain;charset=utf-8")
                    .put(HttpHeader.CACHE_CONTROL, "no-store"), text.getBytes(StandardCharsets.UTF_8));
        }
    }

    private final Answers answers;
    private final HttpParser parser = new HttpParser(this, MAX_HEAD_BYTES, HttpCompliance.STRICT);
    private String method;
    private String target;
    private boolean closeAfterAnswer;
    private boolean complete;
    private String rejection;
    private boolean writing;
    private boolean lastWritten;

    HttpCheckConnection(EndPoint endPoint, CheckListener checkListener, Answers answers) {
        super(endPoint, checkListener);
        this.answers = answers;
    }

    @Override
    protected boolean processInput() {
        if (lastWritten) {
            return discard();
        }
        if (writing || !in.hasRemaining()) {
            return false;
        }
        parser.parseNext(in);
        if (complete || rejection != null) {
            answer();
            return !writing;
        }
        return true;
    }

    private void answer() {
        boolean last = closeAfterAnswer || rejection != null;
        Answer response;
        if (rejection != null) {
            checkListener.refused(getEndPoint().getRemoteSocketAddress(), rejection);
            response = Answer.text(400, rejection + "\n");
        } else if (!method.equals("GET") && !method.equals("HEAD")) {
            response = Answer.text(405, "GET or HEAD\n");
        } else {
            response = answers.to(target);
        }
        writing = true;
        ByteBuffer[] message = HttpMessages.checkResponse(response.status(), response.fields(), response.body(),
                "HEAD".equals(method), last);
        write(last, () -> {
            writing = false;
            lastWritten = last;
            complete = false;
            parser.reset();
        }, message);
    }

    // ---------------------------------------------------------------- callbacks of the parser
    @Override
    public void startRequest(String method, String uri, HttpVersion version) {
        this.method = method;
        target = uri;
        closeAfterAnswer = version.compareTo(HttpVersion.HTTP_1_1) < 0;
    }

    @Override
    public void parsedHeader(HttpField field) {
        if (field.getHeader() == HttpHeader.CONNECTION && field.contains(HttpHeaderValue.CLOSE.asString())) {
            closeAfterAnswer = true;
        }
        if (field.getHeader() == HttpHeader.TRANSFER_ENCODING
                || field.getHeader() == HttpHeader.CONTENT_LENGTH && !"0".equals(field.getValue())) {
            rejection = "a check has no body";
        }
    }

    @Override
    public boolean headerComplete() {
        return rejection != null;
    }

    @Override
    public boolean content(ByteBuffer content) {
        rejection = "a check has no body";
        return true;
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
        rejection = "malformed request";
    }

    @Override
    public void earlyEOF() {
        rejection = "malformed request";
    }
}
