package granitefold.standin.ground;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import granitefold.standin.history.Entry;
import granitefold.standin.history.Violation;
import java.awt.Color;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.knowm.xchart.AnnotationLine;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Writes a test run as JSON and as a self-contained HTML page. */
final class TestReport {
    private static final int WIDTH = 900, HEIGHT = 320, MAX_TRACE_ENTRIES = 20, MAX_VIOLATIONS = 50;
    private static final double[] PERCENTILES = {50, 90, 99, 99.9};

    private TestReport() { }

    // ---------------------------------------------------------------- JSON
    static ObjectNode json(TestRun run) {
        ObjectNode o = DispatcherConfig.JSON.createObjectNode();
        o.put("scenario", run.scenario().name()).put("about", run.scenario().about()).put("seed", run.seed());
        o.put("well", run.passed()).put("cut", run.aborted());
        if (run.scriptError() != null) {
            o.put("script_failed", run.scriptError());
        }
        row(o.putObject("all"), run.statistics().all());
        rows(o.putObject("classes"), run.statistics().classes());
        rows(o.putObject("tenants"), run.statistics().tenants());
        rows(o.putObject("dispatchers"), run.statistics().dispatchers());
        ArrayNode seconds = o.putArray("seconds");
        run.statistics().seconds().forEach(r -> seconds.addObject().put("asked", r.requests).put("service", rounded(r.servedValueShare())));
        ArrayNode timeline = o.putArray("marks");
        run.timeline().forEach(step -> timeline.addObject().put("at_ms", step.elapsedUs() / 1000).put("what", step.what()));
        ArrayNode broken = o.putArray("violations");
        run.violations().stream().limit(MAX_VIOLATIONS).forEach(v -> {
            ObjectNode b = broken.addObject().put("rule", v.rule().name()).put("at_ms", v.atUs() / 1000).put("what", v.what());
            ArrayNode trace = b.putArray("trace");
            v.trace().stream().limit(MAX_TRACE_ENTRIES).forEach(e -> trace.add(DispatcherConfig.JSON.valueToTree(e)));
        });
        o.put("violations_in_all", run.violations().size());
        return o;
    }

    private static void rows(ObjectNode o, Map<String, RequestStatistics.Summary> rows) {
        rows.forEach((name, r) -> row(o.putObject(name), r));
    }

    private static void row(ObjectNode o, RequestStatistics.Summary r) {
        o.put("asked", r.requests).put("service", rounded(r.servedValueShare()));
        for (RequestStatistics.Outcome e : RequestStatistics.Outcome.values()) {
            o.put(e.name().toLowerCase(Locale.ROOT), r.count(e));
        }
        ObjectNode l = o.putObject("latency_ms");
        for (double q : PERCENTILES) {
            l.put("p" + (q == Math.rint(q) ? Long.toString((long) q) : Double.toString(q)), r.latencyMs(q));
        }
    }

    private static double rounded(double v) {
        return Math.round(v * 1e4) / 1e4;
    }

    // ---------------------------------------------------------------- a page
    static void html(TestRun run, Path file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        StringBuilder b = new StringBuilder("<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\"><title>").append(text(run.scenario().name()))
                .append("</title><style>body{font:15px sans-serif;max-width:940px;margin:2em auto}td,th{padding:2px 10px;text-align:right}"
                        + "td:first-child,th:first-child{text-align:left}.bad{color:#b00}pre{background:#f4f4f4;padding:8px;overflow:auto}</style><h1>")
                .append(text(run.scenario().name())).append(", seed ").append(run.seed()).append("</h1><p>").append(text(run.scenario().about()))
                .append("</p>");
        if (run.aborted()) {
            b.append("<p class=bad>Interrupted: the results cover the time until the interruption.</p>");
        }
        if (run.scriptError() != null) {
            b.append("<p class=bad>The script failed: ").append(text(run.scriptError())).append("</p>");
        }
        b.append(run.violations().isEmpty() ? "<p>No rule violated.</p>" : "<p class=bad>" + run.violations().size() + " rule violations.</p>");
        table(b, "", Map.of("all", run.statistics().all()));
        b.append("<h2>Service by second</h2>").append(image(service(run)));
        b.append("<table><tr><th>second<th>step</tr>");
        run.timeline().forEach(step -> b.append(String.format(Locale.ROOT, "<tr><td>%.2f<td style=\"text-align:left\">%s</tr>",
                step.elapsedUs() / 1e6, text(step.what()))));
        b.append("</table>");
        table(b, "By class", run.statistics().classes());
        table(b, "By tenant", run.statistics().tenants());
        table(b, "By dispatcher", run.statistics().dispatchers());
        b.append(image(outcomes(run)));
        if (!run.violations().isEmpty()) {
            b.append("<h2>Rule violations</h2>");
            run.violations().stream().limit(MAX_VIOLATIONS).forEach(v -> b.append("<h3>").append(text(v.toString())).append("</h3>").append(trace(v)));
        }
        Files.writeString(file, b.append("</html>"));
    }

    private static String trace(Violation v) {
        StringBuilder t = new StringBuilder("<pre>");
        for (Entry e : v.trace().stream().limit(MAX_TRACE_ENTRIES).toList()) {
            t.append(String.format(Locale.ROOT, "%9.3f ms %s %s %s %s %s %s%n", e.atUs() / 1000.0, e.what(), word(e.who()), word(e.whom()), word(e.txn()),
                    e.number() == 0 ? "" : e.number(), word(e.text())));
        }
        return t.append("</pre>").toString();
    }

    private static String word(String s) {
        return s == null ? "" : text(s);
    }

    private static String text(String s) {
        return s.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static void table(StringBuilder b, String title, Map<String, RequestStatistics.Summary> rows) {
        b.append("<h2>").append(title).append("</h2><table><tr><th><th>asked<th>service");
        for (RequestStatistics.Outcome e : RequestStatistics.Outcome.values()) {
            b.append("<th>").append(e.name().toLowerCase(Locale.ROOT).replace('_', ' '));
        }
        b.append("<th>p50 ms<th>p99 ms</tr>");
        rows.forEach((name, r) -> {
            b.append("<tr><td>").append(text(name)).append("<td>").append(r.requests).append(String.format(Locale.ROOT, "<td>%.3f",
                    r.servedValueShare()));
            for (RequestStatistics.Outcome e : RequestStatistics.Outcome.values()) {
                b.append("<td>").append(r.count(e));
            }
            b.append(String.format(Locale.ROOT, "<td>%.0f<td>%.0f</tr>", r.latencyMs(50), r.latencyMs(99)));
        });
        b.append("</table>");
    }

    private static XYChart service(TestRun run) {
        XYChart c = new XYChartBuilder().width(WIDTH).height(HEIGHT).xAxisTitle("seconds since the start of the load")
                .yAxisTitle("share of value served in time").build();
        c.getStyler().setYAxisMin(0.0).setYAxisMax(1.0).setLegendVisible(false).setAnnotationLineColor(new Color(176, 0, 0, 120));
        List<Double> at = new ArrayList<>();
        List<Double> service = new ArrayList<>();
        List<RequestStatistics.Summary> seconds = run.statistics().seconds();
        for (int i = 0; i < seconds.size(); i++) {
            at.add(i + 0.5);
            service.add(seconds.get(i).servedValueShare());
        }
        if (at.isEmpty()) {
            at.add(0.0);
            service.add(0.0);
        }
        c.addSeries("service", at, service).setMarker(SeriesMarkers.CIRCLE);
        for (FaultScript.PerformedStep step : run.timeline()) {
            AnnotationLine line = new AnnotationLine(step.elapsedUs() / 1e6, true, false);
            c.addAnnotation(line);
        }
        return c;
    }

    private static CategoryChart outcomes(TestRun run) {
        CategoryChart c = new CategoryChartBuilder().width(WIDTH).height(HEIGHT).yAxisTitle("requests").build();
        c.getStyler().setStacked(true);
        List<String> names = run.statistics().dispatchers().isEmpty() ? List.of("none") : List.copyOf(run.statistics().dispatchers().keySet());
        for (RequestStatistics.Outcome e : RequestStatistics.Outcome.values()) {
            c.addSeries(e.name().toLowerCase(Locale.ROOT).replace('_', ' '), names, names.stream().map(n ->
                    run.statistics().dispatchers().containsKey(n) ? (Number) run.statistics().dispatchers().get(n).count(e) : 0L).toList());
        }
        return c;
    }

    private static String image(org.knowm.xchart.internal.chartpart.Chart<?, ?> chart) {
        try {
            return "<img alt=\"chart\" src=\"data:image/png;base64," + Base64.getEncoder().encodeToString(
                    BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG)) + "\">";
        } catch (IOException e) {
            return "<p class=bad>no chart: " + text(e.toString()) + "</p>";
        }
    }
}
