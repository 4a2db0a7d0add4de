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
    private static final int HEAD = 32, SECTION_HEAD = 12;
    private static final int ABOUT = 1, KINDS = 2, WORKERS = 3, BUCKETS = 4, KEYS = 5;
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
    private interface Body {
        void write(JsonGenerator g) throws IOException;
    }

    /** The bytes of a file. */
    public static byte[] encode(Content c) {
        LearnedState l = c.learned();
        List<byte[]> sections = new ArrayList<>();
        sections.add(section(ABOUT, g -> {
            g.writeStringField("name", c.name());
            g.writeStringField("settings", c.settings());
            g.writeNumberField("me", c.me());
            g.writeNumberField("siblings", c.siblings());
            strings(g, "tenants", c.tenants());
            strings(g, "kinds", c.kinds());
            g.writeNumberField("at", l.at());
            g.writeNumberField("fetch_us", l.fetchUs());
            g.writeNumberField("kept", l.kept());
            g.writeNumberField("mean_work", l.meanWork());
            g.writeNumberField("works", l.works());
        }));
        sections.add(section(KINDS, g -> rows(g, l.kinds(), k -> {
            g.writeNumber(k.kind());
            g.writeNumber(k.sum());
            g.writeNumber(k.weight());
            g.writeNumber(k.slots());
        })));
        sections.add(section(WORKERS, g -> rows(g, l.workers(), p -> {
            g.writeNumber(p.id());
            g.writeNumber(p.kind());
            g.writeNumber(p.startedAt());
            g.writeNumber(p.lostAt());
            g.writeNumber(p.sum());
            g.writeNumber(p.weight());
            g.writeNumber(p.slots());
            g.writeNumber(p.work());
            longs(g, p.kept());
        })));
        sections.add(section(BUCKETS, g -> rows(g, l.buckets(), b -> {
            g.writeNumber(b.tenant());
            longs(g, b.used());
            g.writeNumber(b.credited());
            g.writeNumber(b.refilledAt());
        })));
        sections.add(section(KEYS, g -> rows(g, l.keys(), k -> {
            g.writeNumber(k.key());
            g.writeNumber(k.until());
        })));
        int length = HEAD + sections.stream().mapToInt(s -> s.length).sum();
        ByteBuffer file = ByteBuffer.allocate(length);
        file.put(MAGIC).putShort((short) VERSION).putShort((short) sections.size()).putInt(length).position(HEAD - 4);
        file.putInt(crc(file.array(), 0, HEAD - 4));
        sections.forEach(file::put);
        return file.array();
    }

    private static byte[] section(int id, Body body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator g = CBOR.createGenerator(out)) {
            g.writeStartObject();
            body.write(g);
            g.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        byte[] cbor = out.toByteArray();
        ByteBuffer section = ByteBuffer.allocate(SECTION_HEAD + cbor.length);
        section.putInt(id).putInt(cbor.length).position(SECTION_HEAD);
        section.put(cbor);
        section.putInt(SECTION_HEAD - 4, crc(section.array()));
        return section.array();
    }

    /** A section's checksum covers all of it but the checksum itself. */
    private static int crc(byte[] section) {
        CRC32C crc = new CRC32C();
        crc.update(section, 0, SECTION_HEAD - 4);
        crc.update(section, SECTION_HEAD, section.length - SECTION_HEAD);
        return (int) crc.getValue();
    }

    private static int crc(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    private interface Row<T> {
        void write(T value) throws IOException;
    }

    private static <T> void rows(JsonGenerator g, List<T> all, Row<T> row) throws IOException {
        g.writeArrayFieldStart("rows");
        for (T t : all) {
            g.writeStartArray();
            row.write(t);
            g.writeEndArray();
        }
        g.writeEndArray();
    }

    private static void longs(JsonGenerator g, List<Long> all) throws IOException {
        g.writeStartArray();
        for (long v : all) {
            g.writeNumber(v);
        }
        g.writeEndArray();
    }

    private static void strings(JsonGenerator g, String name, List<String> all) throws IOException {
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
        if (file.length < HEAD || !ByteBuffer.wrap(MAGIC).equals(in.slice(0, MAGIC.length))) {
            throw new UnreadableFileException(file.length < HEAD ? Fault.DAMAGED : Fault.FOREIGN, file.length < HEAD
                    ? "at byte " + file.length + ": the head is cut off" : "at byte 0: not a state file");
        }
        if (in.getInt(HEAD - 4) != crc(file, 0, HEAD - 4)) {
            throw new UnreadableFileException(Fault.DAMAGED, "at byte " + (HEAD - 4) + ": the head's checksum does not hold");
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
        Builder b = new Builder();
        int at = HEAD;
        for (int i = 0; i < sections; i++) {
            int left = file.length - at - SECTION_HEAD;
            int length = left < 0 ? -1 : in.getInt(at + 4);
            if (length < 0 || length > left) {
                throw new UnreadableFileException(Fault.DAMAGED, "at byte " + at + ": section " + i + " is cut off");
            }
            byte[] section = new byte[SECTION_HEAD + length];
            in.get(at, section);
            if (crc(section) != in.getInt(at + 8)) {
                throw new UnreadableFileException(Fault.DAMAGED, "at byte " + at + ": the checksum of section " + i + " does not hold");
            }
            try (JsonParser p = CBOR.createParser(section, SECTION_HEAD, length)) {
                b.section(in.getInt(at), p);
            } catch (IOException | RuntimeException e) {
                throw new UnreadableFileException(Fault.DAMAGED, "at byte " + at + ": section " + i + " makes no sense");
            }
            at += section.length;
        }
        if (at != file.length || b.name == null) {
            throw new UnreadableFileException(Fault.DAMAGED, "at byte " + at + ": more than its sections, or none of whose it is");
        }
        return b.content();
    }

    /** Gathers the sections; unknown ones and unknown fields are passed over, as a later version may add some. */
    private static final class Builder {
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

        Content content() {
            return new Content(name, settings, me, siblings, tenants, kindNames, new LearnedState(at, fetchUs, kept, meanWork, works,
                    List.copyOf(kinds), List.copyOf(workers), List.copyOf(buckets), List.copyOf(keys)));
        }

        void section(int id, JsonParser p) throws IOException {
            expect(p.nextToken() == JsonToken.START_OBJECT);
            while (p.nextToken() != JsonToken.END_OBJECT) {
                String field = p.currentName();
                p.nextToken();
                if (id == ABOUT) {
                    about(field, p);
                } else if (field.equals("rows") && id <= KEYS) {
                    while (p.nextToken() != JsonToken.END_ARRAY) {
                        expect(p.currentToken() == JsonToken.START_ARRAY);
                        row(id, p);
                        while (p.nextToken() != JsonToken.END_ARRAY) {
                            p.skipChildren();
                        }
                    }
                } else {
                    p.skipChildren();
                }
            }
        }

        private void about(String field, JsonParser p) throws IOException {
            switch (field) {
                case "name" -> name = p.getText();
                case "settings" -> settings = p.getText();
                case "me" -> me = p.getIntValue();
                case "siblings" -> siblings = p.getIntValue();
                case "tenants" -> tenants = strings(p);
                case "kinds" -> kindNames = strings(p);
                case "at" -> at = p.getLongValue();
                case "fetch_us" -> fetchUs = figure(p.getDoubleValue());
                case "kept" -> kept = figure(p.getDoubleValue());
                case "mean_work" -> meanWork = figure(p.getDoubleValue());
                case "works" -> works = p.getLongValue();
                default -> p.skipChildren();
            }
        }

        private void row(int id, JsonParser p) throws IOException {
            switch (id) {
                case KINDS -> kinds.add(new LearnedState.Kind(whole(p), number(p), number(p), whole(p)));
                case WORKERS -> workers.add(new LearnedState.Worker(along(p), whole(p), along(p), along(p), number(p), number(p), whole(p),
                        number(p), longs(p)));
                case BUCKETS -> buckets.add(new LearnedState.Bucket(whole(p), longs(p), number(p), along(p)));
                case KEYS -> keys.add(new LearnedState.Key(along(p), along(p)));
                default -> { }
            }
        }

        private static void expect(boolean holds) throws IOException {
            if (!holds) {
                throw new IOException("not as expected");
            }
        }

        private static double figure(double v) throws IOException {
            expect(Double.isFinite(v));
            return v;
        }

        private static long along(JsonParser p) throws IOException {
            p.nextToken();
            return p.getLongValue();
        }

        private static int whole(JsonParser p) throws IOException {
            p.nextToken();
            return p.getIntValue();
        }

        private static double number(JsonParser p) throws IOException {
            p.nextToken();
            return figure(p.getDoubleValue());
        }

        private static List<Long> longs(JsonParser p) throws IOException {
            expect(p.nextToken() == JsonToken.START_ARRAY);
            List<Long> all = new ArrayList<>();
            while (p.nextToken() != JsonToken.END_ARRAY) {
                all.add(p.getLongValue());
            }
            return List.copyOf(all);
        }

        private static List<String> strings(JsonParser p) throws IOException {
            expect(p.currentToken() == JsonToken.START_ARRAY);
            List<String> all = new ArrayList<>();
            while (p.nextToken() != JsonToken.END_ARRAY) {
                all.add(p.getText());
            }
            return List.copyOf(all);
        }
    }
}
