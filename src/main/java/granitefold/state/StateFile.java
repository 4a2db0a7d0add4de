package granitefold.state;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import granitefold.recovery.LearnedState;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes state files of version 1. A file starts with a header of 32 bytes: magic, version, number of
 * sections, length of the file, reserved bytes, checksum of the header. The sections follow; each has an id, a length, a
 * checksum over both and the body, and the body in CBOR (RFC 8949). Numbers are big-endian, checksums are CRC-32C
 * (RFC 3720, appendix B.4). Every bit is covered by a checksum, including the file length, so that truncated and extended
 * files are rejected.
 */
public final class StateFile {
    public static final int VERSION = 1;
    /** Limit of the file length; a longer file is rejected before memory is allocated for it. */
    public static final int MAX_LENGTH_BYTES = 16 * 1024 * 1024;
    static final byte[] MAGIC = "granfold".getBytes(StandardCharsets.US_ASCII);
    private static final int HEADER_BYTES = 32, SECTION_HEADER_BYTES = 12;
    private static final int METADATA = 1, KINDS = 2, WORKERS = 3, BUCKETS = 4, KEYS = 5;
    private static final CBORFactory CBOR = new CBORFactory();

    /**
     * The content of a file: the dispatcher that it belongs to, the names behind the indices in the state, and the state.
     *
     * @param name name of the dispatcher
     * @param settings key of the settings under which the state was learned
     * @param me index of the dispatcher among all dispatchers
     * @param siblings number of dispatchers, including this one
     */
    public record Content(String name, String settings, int me, int siblings, List<String> tenants, List<String> kinds,
            LearnedState learned) { }

    /** Why a file cannot be read. */
    public enum Fault { DAMAGED, NEWER, FOREIGN }

    /** A file cannot be read; the message is one line with the position and the reason. */
    public static final class UnreadableFileException extends Exception {
        private static final long serialVersionUID = 1;
        private final Fault fault;

        UnreadableFileException(Fault fault, String message) {
            super(message, null, false, false);
            this.fault = fault;
        }

        public Fault fault() {
            return fault;
        }
    }

    private StateFile() { }

    // ---------------------------------------------------------------- writing
    private interface SectionBody {
        void write(JsonGenerator g) throws IOException;
    }

    /** Returns the bytes of a file. */
    public static byte[] encode(Content content) {
        LearnedState learned = content.learned();
        List<byte[]> sections = new ArrayList<>();
        sections.add(encodeSection(METADATA, g -> {
            g.writeStringField("name", content.name());
            g.writeStringField("settings", content.settings());
            g.writeNumberField("me", content.me());
            g.writeNumberField("siblings", content.siblings());
            writeStrings(g, "tenants", content.tenants());
            writeStrings(g, "kinds", content.kinds());
            g.writeNumberField("at", learned.at());
            g.writeNumberField("fetch_us", learned.fetchUs());
            g.writeNumberField("kept", learned.kept());
            g.writeNumberField("mean_work", learned.meanWork());
            g.writeNumberField("works", learned.works());
        }));
        sections.add(encodeSection(KINDS, g -> writeRows(g, learned.kinds(), k -> {
            g.writeNumber(k.kind());
            g.writeNumber(k.sum());
            g.writeNumber(k.weight());
            g.writeNumber(k.slots());
        })));
        sections.add(encodeSection(WORKERS, g -> writeRows(g, learned.workers(), p -> {
            g.writeNumber(p.id());
            g.writeNumber(p.kind());
            g.writeNumber(p.startedAt());
            g.writeNumber(p.lostAt());
            g.writeNumber(p.sum());
            g.writeNumber(p.weight());
            g.writeNumber(p.slots());
            g.writeNumber(p.work());
            writeLongs(g, p.kept());
        })));
        sections.add(encodeSection(BUCKETS, g -> writeRows(g, learned.buckets(), b -> {
            g.writeNumber(b.tenant());
            writeLongs(g, b.used());
            g.writeNumber(b.credited());
            g.writeNumber(b.refilledAt());
        })));
        sections.add(encodeSection(KEYS, g -> writeRows(g, learned.keys(), k -> {
            g.writeNumber(k.key());
            g.writeNumber(k.until());
        })));
        int length = HEADER_BYTES + sections.stream().mapToInt(s -> s.length).sum();
        ByteBuffer file = ByteBuffer.allocate(length);
        file.put(MAGIC).putShort((short) VERSION).putShort((short) sections.size()).putInt(length).position(HEADER_BYTES - 4);
        file.putInt(crc(file.array(), 0, HEADER_BYTES - 4));
        sections.forEach(file::put);
        return file.array();
    }

    private static byte[] encodeSection(int id, SectionBody body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator g = CBOR.createGenerator(out)) {
            g.writeStartObject();
            body.write(g);
            g.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        byte[] cbor = out.toByteArray();
        ByteBuffer section = ByteBuffer.allocate(SECTION_HEADER_BYTES + cbor.length);
        section.putInt(id).putInt(cbor.length).position(SECTION_HEADER_BYTES);
        section.put(cbor);
        section.putInt(SECTION_HEADER_BYTES - 4, crc(section.array()));
        return section.array();
    }

    /** Returns the checksum of a section, which covers all of it except the checksum itself. */
    private static int crc(byte[] section) {
        CRC32C crc = new CRC32C();
        crc.update(section, 0, SECTION_HEADER_BYTES - 4);
        crc.update(section, SECTION_HEADER_BYTES, section.length - SECTION_HEADER_BYTES);
        return (int) crc.getValue();
    }

    private static int crc(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    private interface RowWriter<T> {
        void write(T value) throws IOException;
    }

    private static <T> void writeRows(JsonGenerator g, List<T> values, RowWriter<T> row) throws IOException {
        g.writeArrayFieldStart("rows");
        for (T value : values) {
            g.writeStartArray();
            row.write(value);
            g.writeEndArray();
        }
        g.writeEndArray();
    }

    private static void writeLongs(JsonGenerator g, List<Long> values) throws IOException {
        g.writeStartArray();
        for (long value : values) {
            g.writeNumber(value);
        }
        g.writeEndArray();
    }

    private static void writeStrings(JsonGenerator g, String name, List<String> values) throws IOException {
        g.writeArrayFieldStart(name);
        for (String value : values) {
            g.writeString(value);
        }
        g.writeEndArray();
    }

    // ---------------------------------------------------------------- reading
    /** Returns the content of a file if it is intact. */
    public static Content decode(byte[] file) throws UnreadableFileException {
        ByteBuffer in = ByteBuffer.wrap(file);
        if (file.length < HEADER_BYTES || !ByteBuffer.wrap(MAGIC).equals(in.slice(0, MAGIC.length))) {
            throw new UnreadableFileException(file.length < HEADER_BYTES ? Fault.DAMAGED : Fault.FOREIGN, file.length < HEADER_BYTES
                    ? "at byte " + file.length + ": the header is truncated" : "at byte 0: not a state file");
        }
        if (in.getInt(HEADER_BYTES - 4) != crc(file, 0, HEADER_BYTES - 4)) {
            throw new UnreadableFileException(Fault.DAMAGED, "at byte " + (HEADER_BYTES - 4) + ": the checksum of the header does not match");
        }
        int version = in.getShort(MAGIC.length) & 0xffff;
        if (version != VERSION) {
            throw new UnreadableFileException(version > VERSION ? Fault.NEWER : Fault.FOREIGN, "at byte " + MAGIC.length + ": version "
                    + version + ", this program reads " + VERSION);
        }
        int sectionCount = in.getShort(MAGIC.length + 2) & 0xffff;
        if (in.getInt(MAGIC.length + 4) != file.length) {
            throw new UnreadableFileException(Fault.DAMAGED, "at byte " + file.length + ": the file should have "
                    + in.getInt(MAGIC.length + 4) + " bytes");
        }
        ContentBuilder builder = new ContentBuilder();
        int at = HEADER_BYTES;
        for (int i = 0; i < sectionCount; i++) {
            int left = file.length - at - SECTION_HEADER_BYTES;
            int length = left < 0 ? -1 : in.getInt(at + 4);
            if (length < 0 || length > left) {
                throw new UnreadableFileException(Fault.DAMAGED, "at byte " + at + ": section " + i + " is truncated");
            }
            byte[] section = new byte[SECTION_HEADER_BYTES + length];
            in.get(at, section);
            if (crc(section) != in.getInt(at + 8)) {
                throw new UnreadableFileException(Fault.DAMAGED, "at byte " + at + ": the checksum of section " + i + " does not match");
            }
            try (JsonParser p = CBOR.createParser(section, SECTION_HEADER_BYTES, length)) {
                builder.readSection(in.getInt(at), p);
            } catch (IOException | RuntimeException e) {
                throw new UnreadableFileException(Fault.DAMAGED, "at byte " + at + ": the body of section " + i + " is malformed");
            }
            at += section.length;
        }
        if (at != file.length || builder.name == null) {
            throw new UnreadableFileException(Fault.DAMAGED, "at byte " + at + ": bytes after the last section, or no dispatcher name");
        }
        return builder.build();
    }

    /** Collects the sections; unknown sections and fields are skipped, because a later version may add some. */
    private static final class ContentBuilder {
        private String name;
        /** Empty for files of earlier versions, which lack this field. */
        private String settings = "";
        private int me;
        private int siblings;
        private long at;
        private double fetchUs;
        private double kept;
        private double meanWork;
        private long works;
        private List<String> tenants = List.of();
        private List<String> kindNames = List.of();
        private final List<LearnedState.Kind> kinds = new ArrayList<>();
        private final List<LearnedState.Worker> workers = new ArrayList<>();
        private final List<LearnedState.Bucket> buckets = new ArrayList<>();
        private final List<LearnedState.Key> keys = new ArrayList<>();

        Content build() {
            return new Content(name, settings, me, siblings, tenants, kindNames, new LearnedState(at, fetchUs, kept, meanWork, works,
                    List.copyOf(kinds), List.copyOf(workers), List.copyOf(buckets), List.copyOf(keys)));
        }

        void readSection(int id, JsonParser p) throws IOException {
            require(p.nextToken() == JsonToken.START_OBJECT);
            while (p.nextToken() != JsonToken.END_OBJECT) {
                String field = p.currentName();
                p.nextToken();
                if (id == METADATA) {
                    readMetadata(field, p);
                } else if (field.equals("rows") && id <= KEYS) {
                    while (p.nextToken() != JsonToken.END_ARRAY) {
                        require(p.currentToken() == JsonToken.START_ARRAY);
                        readRow(id, p);
                        while (p.nextToken() != JsonToken.END_ARRAY) {
                            p.skipChildren();
                        }
                    }
                } else {
                    p.skipChildren();
                }
            }
        }

        private void readMetadata(String field, JsonParser p) throws IOException {
            switch (field) {
                case "name" -> name = p.getText();
                case "settings" -> settings = p.getText();
                case "me" -> me = p.getIntValue();
                case "siblings" -> siblings = p.getIntValue();
                case "tenants" -> tenants = readStrings(p);
                case "kinds" -> kindNames = readStrings(p);
                case "at" -> at = p.getLongValue();
                case "fetch_us" -> fetchUs = finite(p.getDoubleValue());
                case "kept" -> kept = finite(p.getDoubleValue());
                case "mean_work" -> meanWork = finite(p.getDoubleValue());
                case "works" -> works = p.getLongValue();
                default -> p.skipChildren();
            }
        }

        private void readRow(int id, JsonParser p) throws IOException {
            switch (id) {
                case KINDS -> kinds.add(new LearnedState.Kind(nextInt(p), nextDouble(p), nextDouble(p), nextInt(p)));
                case WORKERS -> workers.add(new LearnedState.Worker(nextLong(p), nextInt(p), nextLong(p), nextLong(p), nextDouble(p),
                        nextDouble(p), nextInt(p), nextDouble(p), readLongs(p)));
                case BUCKETS -> buckets.add(new LearnedState.Bucket(nextInt(p), readLongs(p), nextDouble(p), nextLong(p)));
                case KEYS -> keys.add(new LearnedState.Key(nextLong(p), nextLong(p)));
                default -> { }
            }
        }

        private static void require(boolean condition) throws IOException {
            if (!condition) {
                throw new IOException("unexpected value");
            }
        }

        private static double finite(double value) throws IOException {
            require(Double.isFinite(value));
            return value;
        }

        private static long nextLong(JsonParser p) throws IOException {
            p.nextToken();
            return p.getLongValue();
        }

        private static int nextInt(JsonParser p) throws IOException {
            p.nextToken();
            return p.getIntValue();
        }

        private static double nextDouble(JsonParser p) throws IOException {
            p.nextToken();
            return finite(p.getDoubleValue());
        }

        private static List<Long> readLongs(JsonParser p) throws IOException {
            require(p.nextToken() == JsonToken.START_ARRAY);
            List<Long> values = new ArrayList<>();
            while (p.nextToken() != JsonToken.END_ARRAY) {
                values.add(p.getLongValue());
            }
            return List.copyOf(values);
        }

        private static List<String> readStrings(JsonParser p) throws IOException {
            require(p.currentToken() == JsonToken.START_ARRAY);
            List<String> values = new ArrayList<>();
            while (p.nextToken() != JsonToken.END_ARRAY) {
                values.add(p.getText());
            }
            return List.copyOf(values);
        }
    }
}
