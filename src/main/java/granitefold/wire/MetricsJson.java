package granitefold.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import granitefold.figures.ClientInput;
import granitefold.figures.LoopUse;
import granitefold.figures.MemoryUse;
import granitefold.figures.MetricsSnapshot;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Encodes a snapshot of the dispatcher's metrics as one JSON object on one line. */
public final class MetricsJson {
    private static final JsonFactory JSON = new JsonFactory();

    private MetricsJson() { }

    /** Encodes the snapshot; {@code classes} are the names of the job classes in the order of the settings. */
    public static byte[] encode(MetricsSnapshot metrics, List<String> classes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(512);
        try (JsonGenerator generator = JSON.createGenerator(out)) {
            generator.writeStartObject();
            generator.writeObjectFieldStart("replies");
            for (int i = 0; i < classes.size(); i++) {
                MetricsSnapshot.Replies counts = metrics.replies().get(i);
                generator.writeObjectFieldStart(classes.get(i));
                generator.writeNumberField("success", counts.success());
                generator.writeNumberField("overload", counts.overload());
                generator.writeNumberField("error", counts.error());
                generator.writeEndObject();
            }
            generator.writeEndObject();
            generator.writeNumberField("dispatches", metrics.dispatches());
            generator.writeNumberField("concurrent", metrics.concurrent());
            generator.writeNumberField("targets", metrics.targets());
            generator.writeNumberField("targets_disabled", metrics.targetsDisabled());
            writeCounts(generator, "refusals", metrics.refusals());
            writeCounts(generator, "invalid_requests", metrics.invalidRequests());
            writeCounts(generator, "closed_clients", metrics.closedClients());
            writeCounts(generator, "client_states", metrics.clientStates());
            writeInput(generator, metrics.clientInput());
            writeMemory(generator, metrics.memory());
            writeLoop(generator, metrics.loop());
            generator.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    private static void writeCounts(JsonGenerator generator, String name, Map<String, Long> counts) throws IOException {
        generator.writeObjectFieldStart(name);
        for (Map.Entry<String, Long> count : new TreeMap<>(counts).entrySet()) {
            generator.writeNumberField(count.getKey(), count.getValue());
        }
        generator.writeEndObject();
    }

    private static void writeInput(JsonGenerator generator, ClientInput input) throws IOException {
        generator.writeObjectFieldStart("client_input");
        generator.writeNumberField("partial_requests", input.partialRequests());
        generator.writeNumberField("unparsed", input.unparsed());
        generator.writeEndObject();
    }

    private static void writeLoop(JsonGenerator generator, LoopUse loop) throws IOException {
        generator.writeObjectFieldStart("loop");
        generator.writeNumberField("discovery_us", loop.discoveryUs());
        generator.writeNumberField("workers_us", loop.workersUs());
        generator.writeNumberField("clients_us", loop.clientsUs());
        generator.writeNumberField("unfinished_turns", loop.unfinishedTurns());
        generator.writeNumberField("full_rounds", loop.fullRounds());
        generator.writeNumberField("slow_rounds", loop.slowRounds());
        generator.writeNumberField("longest_round_us", loop.longestRoundUs());
        generator.writeEndObject();
    }

    private static void writeMemory(JsonGenerator generator, MemoryUse memory) throws IOException {
        generator.writeObjectFieldStart("memory");
        generator.writeNumberField("requests", memory.requests());
        generator.writeNumberField("answers", memory.answers());
        generator.writeNumberField("response_lines", memory.responseLines());
        generator.writeNumberField("worker_lists", memory.workerLists());
        generator.writeNumberField("peak", memory.peak());
        generator.writeNumberField("limit", memory.limit());
        generator.writeNumberField("refused", memory.refused());
        generator.writeEndObject();
    }
}
