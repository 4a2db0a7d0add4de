package granitefold.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import granitefold.figures.MetricsSnapshot;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

/** Figures as one JSON object on one line. */
public final class FiguresJson {
    private static final JsonFactory JSON = new JsonFactory();

    private FiguresJson() { }

    /** {@code classes}: their names, in the order of the settings. */
    public static byte[] encode(MetricsSnapshot f, List<String> classes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(512);
        try (JsonGenerator g = JSON.createGenerator(out)) {
            g.writeStartObject();
            g.writeObjectFieldStart("replies");
            for (int i = 0; i < classes.size(); i++) {
                MetricsSnapshot.Replies r = f.replies().get(i);
                g.writeObjectFieldStart(classes.get(i));
                g.writeNumberField("success", r.success());
                g.writeNumberField("overload", r.overload());
                g.writeNumberField("error", r.error());
                g.writeEndObject();
            }
            g.writeEndObject();
            g.writeNumberField("dispatches", f.dispatches());
            g.writeNumberField("concurrent", f.concurrent());
            g.writeNumberField("targets", f.targets());
            g.writeNumberField("targets_disabled", f.targetsDisabled());
            g.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
