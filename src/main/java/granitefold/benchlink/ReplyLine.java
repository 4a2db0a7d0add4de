package granitefold.benchlink;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A reply line under construction, in a reusable byte buffer. */
final class ReplyLine {
    private byte[] buffer = new byte[4096];
    private int size;

    void clear() {
        size = 0;
    }

    int size() {
        return size;
    }

    /** Drops everything after the first {@code to} bytes. */
    void truncate(int to) {
        size = to;
    }

    /** Appends ASCII text as it is. */
    ReplyLine raw(String ascii) {
        byte[] bytes = ascii.getBytes(StandardCharsets.ISO_8859_1);
        ensureCapacity(bytes.length);
        System.arraycopy(bytes, 0, buffer, size, bytes.length);
        size += bytes.length;
        return this;
    }

    ReplyLine number(long value) {
        ensureCapacity(20);
        if (value < 0) {
            return raw(Long.toString(value));
        }
        int digits = 1;
        for (long remaining = value / 10; remaining > 0; remaining /= 10) {
            digits++;
        }
        for (int i = size + digits - 1; i >= size; i--) {
            buffer[i] = (byte) ('0' + value % 10);
            value /= 10;
        }
        size += digits;
        return this;
    }

    /** Appends a time in microseconds as fractional milliseconds. */
    ReplyLine millis(long us) {
        if (us < 0) {
            return raw("-").millis(-us);
        }
        number(us / 1000);
        int rest = (int) (us % 1000);
        if (rest != 0) {
            ensureCapacity(4);
            buffer[size++] = '.';
            buffer[size++] = (byte) ('0' + rest / 100);
            buffer[size++] = (byte) ('0' + rest / 10 % 10);
            buffer[size++] = (byte) ('0' + rest % 10);
        }
        return this;
    }

    /** Appends a JSON string, escaped; control characters become spaces. */
    ReplyLine string(String text) {
        StringBuilder json = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') {
                json.append('\\').append(c);
            } else if (c < 32) {
                json.append(' ');
            } else {
                json.append(c);
            }
        }
        byte[] utf = json.append('"').toString().getBytes(StandardCharsets.UTF_8);
        ensureCapacity(utf.length);
        System.arraycopy(utf, 0, buffer, size, utf.length);
        size += utf.length;
        return this;
    }

    void writeTo(OutputStream out) throws IOException {
        out.write(buffer, 0, size);
        out.flush();
    }

    private void ensureCapacity(int n) {
        if (size + n > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, size + n));
        }
    }
}
