package granitefold.cli.rollout;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import granitefold.state.Storage;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * Small JSON file that is replaced atomically. A header line names its kind, format version, length and checksum. New content is written
 * and synced under a temporary name and then renamed over the old file.
 */
final class ChecksummedFile<T> {
    static final ObjectMapper JSON = new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    private static final int VERSION = 1, MAX_LENGTH_BYTES = 4 * 1024 * 1024;

    private final Storage disk;
    private final String name;
    private final Class<T> type;

    ChecksummedFile(Storage disk, String name, Class<T> type) {
        this.disk = disk;
        this.name = name;
        this.type = type;
    }

    /** The file exists but its content is not valid. */
    static final class DamagedFileException extends IOException {
        private static final long serialVersionUID = 1;

        DamagedFileException(String message) {
            super(message);
        }
    }

    /** Returns the value written last, or null if the file does not exist. */
    T read() throws IOException {
        byte[] content = disk.read(name, MAX_LENGTH_BYTES);
        if (content == null) {
            return null;
        }
        int headerEnd = 0;
        while (headerEnd < content.length && content[headerEnd] != '\n') {
            headerEnd++;
        }
        String[] header = new String(content, 0, headerEnd, StandardCharsets.US_ASCII).split(" ");
        if (header.length != 5 || !header[0].equals("granitefold")) {
            throw new DamagedFileException(name + ": not a granitefold file");
        }
        byte[] body = Arrays.copyOfRange(content, Math.min(content.length, headerEnd + 1), content.length);
        if (!header[2].equals(Integer.toString(VERSION))) {
            throw new DamagedFileException(name + ": version " + header[2] + "; this program supports version " + VERSION);
        }
        if (!header[1].equals(name) || !header[3].equals(Integer.toString(body.length)) || !header[4].equals(checksum(body))) {
            throw new DamagedFileException(name + ": truncated or modified");
        }
        return JSON.readValue(body, type);
    }

    void write(T value) throws IOException {
        byte[] body = JSON.writeValueAsBytes(value);
        byte[] header = ("granitefold " + name + " " + VERSION + " " + body.length + " " + checksum(body) + "\n").getBytes(StandardCharsets.US_ASCII);
        byte[] content = Arrays.copyOf(header, header.length + body.length);
        System.arraycopy(body, 0, content, header.length, body.length);
        disk.write(name + ".new", content);
        disk.force(name + ".new");
        disk.rename(name + ".new", name);
        disk.forceDirectory();
    }

    private static String checksum(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body);
        return Long.toHexString(crc.getValue());
    }
}
