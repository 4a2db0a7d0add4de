package granitefold.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import granitefold.figures.MetricsSnapshot;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

/** Encodes a dispatcher's figures as one JSON object on one line. */
public final class FiguresJson {
    private static final JsonFactory JSON = new JsonFactory();

    private FiguresJson() { }

    /** Encodes the figures; {@code classes} are the names of the job classes in the order of the settings. */
    public static byte[] encode(MetricsSnapshot figures, List<String> classes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(512);
        try (JsonGenerator generator = JSON.createGenerator(out)) {
            generator.writeStartObject();
            generator.writeObjectFieldStart("replies");
            for (int i = 0; i < classes.size(); i++) {
                MetricsSnapshot.Replies counts = figures.replies().get(i);
                generator.writeObjectFieldStart(classes.get(i));
                generator.writeNumberField("success", counts.success());
                generator.writeNumberField("overload", counts.overload());
                generator.writeNumberField("error", counts.error());
                generator.writeEndObject();
            }
            generator.writeEndObject();
            generator.writeNumberField("dispatches", figures.dispatches());
            generator.writeNumberField("concurrent", figures.concurrent());
            generator.writeNumberField("targets", figures.targets());
            generator.writeNumberField("targets_disabled", figures.targetsDisabled());
            generator.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
