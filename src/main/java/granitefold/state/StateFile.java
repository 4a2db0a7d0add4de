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
 * The format of a state file, version 1. A head of 32 bytes (magic, version, number of sections, length of the whole,
 * reserved, checksum of the head), then sections, each with id, length, checksum of both and of what follows, and CBOR
 * (RFC 8949). Numbers are big-endian, checksums CRC-32C (RFC 3720, appendix B.4). Every bit is under a checksum, and the
 * length of the whole is under one too, so that neither a cut nor a longer file passes.
 */
public final class StateFile {
    public static final int VERSION = 1;
    /** A file that says to be longer is refused before anything is taken for it. */
    public static final int MAX_LENGTH_BYTES = 16 * 1024 * 1024;
    static final byte[] MAGIC = "granfold".getBytes(StandardCharsets.US_ASCII);
    private static final int HEADER_BYTES = 32, SECTION_HEADER_BYTES = 12;
    private static final int METADATA = 1, KINDS = 2, WORKERS = 3, BUCKETS = 4, KEYS = 5;
    private static final CBORFactory CBOR = new CBORFactory();

    /**
     * What a file holds: whose it is, the names that its places stand for, and what was learned.
     *
     * @param name the dispatcher's
     * @param settings the key of the settings that it was learned under
     * @param me its number among its siblings, {@code siblings}: how many they were
     */
    public record Content(String name, String settings, int me, int siblings, List<String> tenants, List<String> kinds, LearnedState learned) { }

    /** Why a file is not read. */
    public enum Fault { DAMAGED, NEWER, FOREIGN }

    /** A file that is not read, with the place and the reason in one line. */
    public static final class UnreadableFileException extends Exception {
        private static final long serialVersionUID = 1;
        private final Fault fault;

        UnreadableFileException(Fault fault, String why) {
            super(why, null, false, false);
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

    /** The bytes of a file. */
    public static byte[] encode(Content c) {
        LearnedState l = c.learned();
        List<byte[]> sections = new ArrayList<>();
        sections.add(encodeSection(METADATA, g -> {
            g.writeStringField("name", c.name());
            g.writeStringField("settings", c.settings());
            g.writeNumberField("me", c.me());
            g.writeNumberField("siblings", c.siblings());
            writeStrings(g, "tenants", c.tenants());
            writeStrings(g, "kinds", c.kinds());
            g.writeNumberField("at", l.at());
            g.writeNumberField("fetch_us", l.fetchUs());
            g.writeNumberField("kept", l.kept());
            g.writeNumberField("mean_work", l.meanWork());
            g.writeNumberField("works", l.works());
        }));
        sections.add(encodeSection(KINDS, g -> writeRows(g, l.kinds(), k -> {
            g.writeNumber(k.kind());
            g.writeNumber(k.sum());
            g.writeNumber(k.weight());
            g.writeNumber(k.slots());
        })));
        sections.add(encodeSection(WORKERS, g -> writeRows(g, l.workers(), p -> {
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
        sections.add(encodeSection(BUCKETS, g -> writeRows(g, l.buckets(), b -> {
            g.writeNumber(b.tenant());
            writeLongs(g, b.used());
            g.writeNumber(b.credited());
            g.writeNumber(b.refilledAt());
        })));
        sections.add(encodeSection(KEYS, g -> writeRows(g, l.keys(), k -> {
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

    /** A section's checksum covers all of it but the checksum itself. */
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

    private static <T> void writeRows(JsonGenerator g, List<T> all, RowWriter<T> row) throws IOException {
        g.writeArrayFieldStart("rows");
        for (T t : all) {
            g.writeStartArray();
            row.write(t);
            g.writeEndArray();
        }
        g.writeEndArray();
    }

    private static void writeLongs(JsonGenerator g, List<Long> all) throws IOException {
        g.writeStartArray();
        for (long v : all) {
            g.writeNumber(v);
        }
        g.writeEndArray();
    }

    private static void writeStrings(JsonGenerator g, String name, List<String> all) throws IOException {
        g.writeArrayFieldStart(name);
        for (String v : all) {
            g.writeString(v);
        }
        g.writeEndArray();
    }

    // ---------------------------------------------------------------- reading
    /** What a file holds, if it is whole. */
    public static Content decode(byte[] file) throws UnreadableFileException {
        ByteBuffer in = ByteBuffer.wrap(file);
        if (file.length < HEADER_BYTES || !ByteBuffer.wrap(MAGIC).equals(in.slice(0, MAGIC.length))) {
            throw new UnreadableFileException(file.length < HEADER_BYTES ? Fault.DAMAGED : Fault.FOREIGN, file.length < HEADER_BYTES
                    ? "at byte " + file.length + ": the head is cut off" : "at byte 0: not a state file");
        }
        if (in.getInt(HEADER_BYTES - 4) != crc(file, 0, HEADER_BYTES - 4)) {
            throw new UnreadableFileException(Fault.DAMAGED, "at byte " + (HEADER_BYTES - 4) + ": the head's checksum does not hold");
        }
        int version = in.getShort(MAGIC.length) & 0xffff;
        if (version != VERSION) {
            throw new UnreadableFileException(version > VERSION ? Fault.NEWER : Fault.FOREIGN, "at byte " + MAGIC.length + ": version "
                    + version + ", this program reads " + VERSION);
        }
        int sections = in.getShort(MAGIC.length + 2) & 0xffff;
        if (in.getInt(MAGIC.length + 4) != file.length) {
            throw new UnreadableFileException(Fault.DAMAGED, "at byte " + file.length + ": the file should have "
                    + in.getInt(MAGIC.length + 4) + " bytes");
        }
        ContentBuilder b = new ContentBuilder();
        int at = HEADER_BYTES;
        for (int i = 0; i < sections; i++) {
            int left = file.length - at - SECTION_HEADER_BYTES;
            int length = left < 0 ? -1 : in.getInt(at + 4);
            if (length < 0 || length > left) {
                throw new UnreadableFileException(Fault.DAMAGED, "at byte " + at + ": section " + i + " is cut off");
            }
            byte[] section = new byte[SECTION_HEADER_BYTES + length];
            in.get(at, section);
            if (crc(section) != in.getInt(at + 8)) {
                throw new UnreadableFileException(Fault.DAMAGED, "at byte " + at + ": the checksum of section " + i + " does not hold");
            }
            try (JsonParser p = CBOR.createParser(section, SECTION_HEADER_BYTES, length)) {
                b.readSection(in.getInt(at), p);
            } catch (IOException | RuntimeException e) {
                throw new UnreadableFileException(Fault.DAMAGED, "at byte " + at + ": section " + i + " makes no sense");
            }
            at += section.length;
        }
        if (at != file.length || b.name == null) {
            throw new UnreadableFileException(Fault.DAMAGED, "at byte " + at + ": more than its sections, or none of whose it is");
        }
        return b.build();
    }

    /** Gathers the sections; unknown ones and unknown fields are passed over, as a later version may add some. */
    private static final class ContentBuilder {
        private String name;
        /** Files of earlier versions do not say. */
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
                case WORKERS -> workers.add(new LearnedState.Worker(nextLong(p), nextInt(p), nextLong(p), nextLong(p), nextDouble(p), nextDouble(p), nextInt(p),
                        nextDouble(p), readLongs(p)));
                case BUCKETS -> buckets.add(new LearnedState.Bucket(nextInt(p), readLongs(p), nextDouble(p), nextLong(p)));
                case KEYS -> keys.add(new LearnedState.Key(nextLong(p), nextLong(p)));
                default -> { }
            }
        }

        private static void require(boolean holds) throws IOException {
            if (!holds) {
                throw new IOException("not as expected");
            }
        }

        private static double finite(double v) throws IOException {
            require(Double.isFinite(v));
            return v;
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
            List<Long> all = new ArrayList<>();
            while (p.nextToken() != JsonToken.END_ARRAY) {
                all.add(p.getLongValue());
            }
            return List.copyOf(all);
        }

        private static List<String> readStrings(JsonParser p) throws IOException {
            require(p.currentToken() == JsonToken.START_ARRAY);
            List<String> all = new ArrayList<>();
            while (p.nextToken() != JsonToken.END_ARRAY) {
                all.add(p.getText());
            }
            return List.copyOf(all);
        }
    }
}
