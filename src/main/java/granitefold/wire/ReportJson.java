package granitefold.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import granitefold.core.StatusReport;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** A report as one JSON object on one line. */
public final class ReportJson {
    /** Grows when a field changes its meaning; new fields alone do not count. */
    public static final int VERSION = 1;
    private static final JsonFactory JSON = new JsonFactory();
    private static final double MS = 1000;

    private ReportJson() { }

    /** {@code ageUs}: how long ago it was published; {@code silent}: the loop has published nothing for too long. */
    public static byte[] encode(String name, StatusReport r, long ageUs, boolean silent) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(512);
        try (JsonGenerator g = JSON.createGenerator(out)) {
            g.writeStartObject();
            g.writeNumberField("version", VERSION);
            g.writeStringField("name", name);
            g.writeStringField("standing", silent ? "SILENT" : r == null ? "STARTING" : r.availability().status().name());
            if (r != null) {
                g.writeNumberField("weight", silent ? 0 : r.availability().weightPercent());
                g.writeNumberField("maxconn", silent ? 0 : r.availability().maxConnections());
                g.writeStringField("reason", silent ? "the loop is silent" : r.availability().reason());
                g.writeBooleanField("impaired", r.availability().impaired());
                g.writeStringField("phase", r.phase().name());
                g.writeStringField("wish", r.requestedMode().name());
                g.writeNumberField("owed", r.owed());
                g.writeNumberField("clients", r.clients());
                g.writeObjectFieldStart("peers");
                g.writeNumberField("ready", r.readyWorkers());
                g.writeNumberField("down", r.downWorkers());
                g.writeBooleanField("panic", r.panic());
                g.writeEndObject();
                g.writeObjectFieldStart("list");
                g.writeNumberField("version", r.listVersion());
                g.writeBooleanField("confirmed", r.confirmed());
                g.writeNumberField("age_ms", r.listAgeUs() / MS);
                g.writeNumberField("silent_ms", r.watchSilentUs() / MS);
                g.writeEndObject();
                g.writeObjectFieldStart("load");
                g.writeNumberField("wait", r.waitRatio());
                g.writeNumberField("reject_share", r.rejectShare());
                g.writeNumberField("per_s", r.answersPerSecond());
                g.writeNumberField("heap", r.resources().heapShare());
                g.writeNumberField("descriptors", r.resources().descriptorShare());
                g.writeNumberField("cpu", r.resources().cpuShare());
                g.writeNumberField("lag_ms", r.resources().lagUs() / MS);
                g.writeEndObject();
                g.writeObjectFieldStart("answers");
                g.writeNumberField("served", r.served());
                g.writeNumberField("rejected", r.rejected());
                g.writeNumberField("failed", r.failed());
                g.writeEndObject();
                g.writeNumberField("up_ms", r.uptimeUs() / MS);
                g.writeNumberField("age_ms", ageUs / MS);
            }
            g.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
