package granitefold.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import granitefold.core.StatusReport;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Encodes a report as one JSON object on one line. */
public final class StatusReportJson {
    /** Version of the format. It is raised when a field changes its meaning, not when a field is added. */
    public static final int VERSION = 1;
    private static final JsonFactory JSON = new JsonFactory();
    private static final double US_PER_MS = 1000;

    private StatusReportJson() { }

    /** Encodes a report published {@code ageUs} ago; {@code silent} if the event loop has stopped publishing. */
    public static byte[] encode(String name, StatusReport report, long ageUs, boolean silent) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(512);
        try (JsonGenerator generator = JSON.createGenerator(out)) {
            generator.writeStartObject();
            generator.writeNumberField("version", VERSION);
            generator.writeStringField("name", name);
            generator.writeStringField("standing", silent ? "SILENT" : report == null ? "STARTING" : report.availability().status().name());
            if (report != null) {
                generator.writeNumberField("weight", silent ? 0 : report.availability().weightPercent());
                generator.writeNumberField("maxconn", silent ? 0 : report.availability().maxConnections());
                generator.writeStringField("reason", silent ? "the loop is silent" : report.availability().reason());
                generator.writeBooleanField("impaired", report.availability().impaired());
                generator.writeStringField("phase", report.phase().name());
                generator.writeStringField("wish", report.requestedMode().name());
                generator.writeNumberField("owed", report.owed());
                generator.writeNumberField("clients", report.clients());
                generator.writeObjectFieldStart("peers");
                generator.writeNumberField("ready", report.readyWorkers());
                generator.writeNumberField("down", report.downWorkers());
                generator.writeBooleanField("panic", report.panic());
                generator.writeEndObject();
                generator.writeObjectFieldStart("list");
                generator.writeNumberField("version", report.listVersion());
                generator.writeBooleanField("confirmed", report.confirmed());
                generator.writeNumberField("age_ms", report.listAgeUs() / US_PER_MS);
                generator.writeNumberField("silent_ms", report.watchSilentUs() / US_PER_MS);
                generator.writeEndObject();
                generator.writeObjectFieldStart("load");
                generator.writeNumberField("wait", report.waitRatio());
                generator.writeNumberField("reject_share", report.rejectShare());
                generator.writeNumberField("per_s", report.answersPerSecond());
                generator.writeNumberField("heap", report.resources().heapShare());
                generator.writeNumberField("descriptors", report.resources().descriptorShare());
                generator.writeNumberField("cpu", report.resources().cpuShare());
                generator.writeNumberField("lag_ms", report.resources().lagUs() / US_PER_MS);
                generator.writeEndObject();
                generator.writeObjectFieldStart("answers");
                generator.writeNumberField("served", report.served());
                generator.writeNumberField("rejected", report.rejected());
                generator.writeNumberField("failed", report.failed());
                generator.writeEndObject();
                generator.writeNumberField("up_ms", report.uptimeUs() / US_PER_MS);
                generator.writeNumberField("age_ms", ageUs / US_PER_MS);
            }
            generator.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
