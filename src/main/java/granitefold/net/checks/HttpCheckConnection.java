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

/** Checks over HTTP/1.1: GET and HEAD without a body, one after the other on a kept connection. */
final class HttpCheckConnection extends CheckConnection implements HttpParser.RequestHandler {
    private static final int HEAD_MOST = 4096;

    /** What to answer to a path with its query. */
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
    private final HttpParser parser = new HttpParser(this, HEAD_MOST, HttpCompliance.STRICT);
    private String method;
    private String target;
    private boolean close;
    private boolean whole;
    private String bad;
    private boolean writing;
    private boolean ended;

    HttpCheckConnection(EndPoint endPoint, Front front, Answers answers) {
        super(endPoint, front);
        this.answers = answers;
    }

    @Override
    protected boolean step() {
        if (ended) {
            return discard();
        }
        if (writing || !in.hasRemaining()) {
            return false;
        }
        parser.parseNext(in);
        if (whole || bad != null) {
            answer();
            return false;
        }
        return true;
    }

    private void answer() {
        boolean last = close || bad != null;
        Answer a;
        if (bad != null) {
            front.refused(getEndPoint().getRemoteSocketAddress(), bad);
            a = Answer.text(400, bad + "\n");
        } else if (!method.equals("GET") && !method.equals("HEAD")) {
            a = Answer.text(405, "GET or HEAD\n");
        } else {
            a = answers.to(target);
        }
        writing = true;
        ByteBuffer[] message = HttpMessages.checkResponse(a.status(), a.fields(), a.body(), "HEAD".equals(method), last);
        write(last, () -> {
            writing = false;
            ended = last;
            whole = false;
            parser.reset();
        }, message);
    }

    // ---------------------------------------------------------------- what the parser finds
    @Override
    public void startRequest(String method, String uri, HttpVersion version) {
        this.method = method;
        target = uri;
        close = version.compareTo(HttpVersion.HTTP_1_1) < 0;
    }

    @Override
    public void parsedHeader(HttpField field) {
        if (field.getHeader() == HttpHeader.CONNECTION && field.contains(HttpHeaderValue.CLOSE.asString())) {
            close = true;
        }
        if (field.getHeader() == HttpHeader.TRANSFER_ENCODING
                || field.getHeader() == HttpHeader.CONTENT_LENGTH && !"0".equals(field.getValue())) {
            bad = "a check has no body";
        }
    }

    @Override
    public boolean headerComplete() {
        return bad != null;
    }

    @Override
    public boolean content(ByteBuffer content) {
        bad = "a check has no body";
        return true;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        whole = true;
        return true;
    }

    @Override
    public void badMessage(HttpException failure) {
        bad = "malformed request";
    }

    @Override
    public void earlyEOF() {
        bad = "malformed request";
    }
}
