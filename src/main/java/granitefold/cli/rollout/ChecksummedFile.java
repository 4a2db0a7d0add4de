package granitefold.cli.rollout;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import granitefold.state.Storage;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * A small file that is written whole or not at all: JSON behind a line that names its kind, version, length and checksum. A new one is
 * forced under another name and takes the place of the old one by a rename.
 */
final class ChecksummedFile<T> {
    static final ObjectMapper JSON = new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    private static final int VERSION = 1, LENGTH_MOST = 4 * 1024 * 1024;

    private final Storage disk;
    private final String name;
    private final Class<T> type;

    ChecksummedFile(Storage disk, String name, Class<T> type) {
        this.disk = disk;
        this.name = name;
        this.type = type;
    }

    /** The file is there and is not what was written. */
    static final class DamagedFileException extends IOException {
        private static final long serialVersionUID = 1;

        DamagedFileException(String message) {
            super(message);
        }
    }

    /** What was written last, or null where nothing ever was. */
    T read() throws IOException {
        byte[] all = disk.read(name, LENGTH_MOST);
        if (all == null) {
            return null;
        }
        int line = 0;
        while (line < all.length && all[line] != '\n') {
            line++;
        }
        String[] head = new String(all, 0, line, StandardCharsets.US_ASCII).split(" ");
        if (head.length != 5 || !head[0].equals("granitefold")) {
            throw new DamagedFileException(name + ": is no file of ours");
        }
        byte[] body = Arrays.copyOfRange(all, Math.min(all.length, line + 1), all.length);
        if (!head[2].equals(Integer.toString(VERSION))) {
            throw new DamagedFileException(name + ": version " + head[2] + ", this program knows " + VERSION);
        }
        if (!head[1].equals(name) || !head[3].equals(Integer.toString(body.length)) || !head[4].equals(checksum(body))) {
            throw new DamagedFileException(name + ": cut or changed");
        }
        return JSON.readValue(body, type);
    }

    void write(T value) throws IOException {
        byte[] body = JSON.writeValueAsBytes(value);
        byte[] head = ("granitefold " + name + " " + VERSION + " " + body.length + " " + checksum(body) + "\n").getBytes(StandardCharsets.US_ASCII);
        byte[] all = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        disk.write(name + ".new", all);
        disk.force(name + ".new");
        disk.rename(name + ".new", name);
        disk.forceDirectory();
    }

    private static String checksum(byte[] body) {
        CRC32C c = new CRC32C();
        c.update(body);
        return Long.toHexString(c.getValue());
    }
}
