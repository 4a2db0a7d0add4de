package granitefold.wire;

import granitefold.core.FinalAnswer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.util.BufferUtil;

/** Encodes the HTTP messages that the dispatcher writes: a head and, if there is one, a body. */
public final class HttpMessages {
    private static final int HEAD_CAPACITY_BYTES = 1024;
    private static final double US_PER_S = 1e6;

    private HttpMessages() { }

    /** Encodes the final answer to a client. */
    public static ByteBuffer[] answer(FinalAnswer answer, boolean close) {
        return answer(answer, List.of(), close);
    }

    /** Encodes the final answer to a client, with additional header fields. */
    public static ByteBuffer[] answer(FinalAnswer answer, List<HttpField> extraFields, boolean close) {
        HttpFields.Mutable head = HttpFields.build();
        extraFields.forEach(head::add);
        if (answer instanceof FinalAnswer.Served served) {
            return response(200, head, served.result(), close);
        }
        if (answer instanceof FinalAnswer.Rejected rejected) {
            if (rejected.retryAfterUs() > 0) {
                head.put(HttpHeader.RETRY_AFTER,
                        String.format(Locale.ROOT, "%.3f", rejected.retryAfterUs() / US_PER_S));
            }
            return response(503, head, text("rejected"), close);
        }
        if (answer instanceof FinalAnswer.Duplicate) {
            return response(409, head, text("this id is another request's"), close);
        }
        boolean late = ((FinalAnswer.Failed) answer).late();
        return response(late ? 504 : 500, head, text(late ? "timed out" : "failed"), close);
    }

    /** Encodes an answer with one line of text. */
    public static ByteBuffer[] plainText(int status, String text, boolean close) {
        return response(status, HttpFields.build(), text(text), close);
    }

    /** Encodes an answer to a health check; with {@code headOnly}, of the body only the length is sent. */
    public static ByteBuffer[] checkResponse(int status, HttpFields fields, byte[] body, boolean headOnly, boolean close) {
        HttpFields.Mutable head = HttpFields.build(fields);
        if (close) {
            head.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
        }
        MetaData.Response response = new MetaData.Response(status, null, HttpVersion.HTTP_1_1, head, body.length);
        return generate(HEAD_CAPACITY_BYTES, body, (generator, header, content) ->
                generator.generateResponse(response, headOnly, header, null, content, true));
    }

    /** Encodes the GET request of a probe. */
    public static ByteBuffer[] probeRequest(String path, String address) {
        return request("GET", path, HttpFields.build().put(HttpHeader.HOST, address), new byte[0]);
    }

    private static byte[] text(String line) {
        return (line + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private static ByteBuffer[] response(int status, HttpFields.Mutable head, byte[] body, boolean close) {
        return checkResponse(status, head, body, false, close);
    }

    /** Encodes a request that is forwarded to a worker, with the time that the dispatcher waits for the answer. */
    public static ByteBuffer[] workerRequest(ClientRequest clientRequest, String address, long waitUs) {
        HttpFields.Mutable head = HttpFields.build(clientRequest.forwardedHeaders());
        head.put(HttpHeader.HOST, address);
        head.put(ClientRequest.REMAINING, Long.toString(waitUs / 1000));
        return request(clientRequest.method(), clientRequest.target(), head, clientRequest.body());
    }

    /** Encodes a watch request to discovery for the changes after a version. */
    public static ByteBuffer[] discoveryWatch(String address, long version) {
        return request("GET", "/v1/servers?stream=1&index=" + version,
                HttpFields.build().put(HttpHeader.HOST, address), new byte[0]);
    }

    private static ByteBuffer[] request(String method, String target, HttpFields head, byte[] body) {
        MetaData.Request request = new MetaData.Request(method, HttpURI.from(target), HttpVersion.HTTP_1_1, head,
                body.length);
        int capacity = HEAD_CAPACITY_BYTES + target.length()
                + head.stream().mapToInt(f -> f.getName().length() + f.getValue().length() + 4).sum();
        return generate(capacity, body, (generator, header, content) ->
                generator.generateRequest(request, header, null, content, true));
    }

    private interface Generation {
        HttpGenerator.Result run(HttpGenerator generator, ByteBuffer header, ByteBuffer content) throws IOException;
    }

    private static ByteBuffer[] generate(int capacity, byte[] body, Generation generation) {
        ByteBuffer header = BufferUtil.allocate(capacity);
        ByteBuffer content = ByteBuffer.wrap(body);
        HttpGenerator generator = new HttpGenerator();
        try {
            HttpGenerator.Result result = generation.run(generator, null, content);
            if (result == HttpGenerator.Result.NEED_HEADER) {
                result = generation.run(generator, header, content);
            }
            if (result != HttpGenerator.Result.FLUSH) {
                throw new IllegalStateException("no message: " + result);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return new ByteBuffer[] {header, content};
    }
}
