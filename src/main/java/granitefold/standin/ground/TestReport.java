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
    static ObjectNode json(TestRun p) {
        ObjectNode o = DispatcherConfig.JSON.createObjectNode();
        o.put("scenario", p.scenario().name()).put("about", p.scenario().about()).put("seed", p.seed());
        o.put("well", p.passed()).put("cut", p.aborted());
        if (p.scriptError() != null) {
            o.put("script_failed", p.scriptError());
        }
        row(o.putObject("all"), p.statistics().all());
        rows(o.putObject("classes"), p.statistics().classes());
        rows(o.putObject("tenants"), p.statistics().tenants());
        rows(o.putObject("dispatchers"), p.statistics().dispatchers());
        ArrayNode seconds = o.putArray("seconds");
        p.statistics().seconds().forEach(r -> seconds.addObject().put("asked", r.requests).put("service", rounded(r.servedValueShare())));
        ArrayNode timeline = o.putArray("marks");
        p.timeline().forEach(m -> timeline.addObject().put("at_ms", m.elapsedUs() / 1000).put("what", m.what()));
        ArrayNode broken = o.putArray("violations");
        p.violations().stream().limit(MAX_VIOLATIONS).forEach(v -> {
            ObjectNode b = broken.addObject().put("rule", v.rule().name()).put("at_ms", v.atUs() / 1000).put("what", v.what());
            ArrayNode trace = b.putArray("trace");
            v.trace().stream().limit(MAX_TRACE_ENTRIES).forEach(e -> trace.add(DispatcherConfig.JSON.valueToTree(e)));
        });
        o.put("violations_in_all", p.violations().size());
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
    static void html(TestRun p, Path file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        StringBuilder b = new StringBuilder("<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\"><title>").append(text(p.scenario().name()))
                .append("</title><style>body{font:15px sans-serif;max-width:940px;margin:2em auto}td,th{padding:2px 10px;text-align:right}"
                        + "td:first-child,th:first-child{text-align:left}.bad{color:#b00}pre{background:#f4f4f4;padding:8px;overflow:auto}</style><h1>")
                .append(text(p.scenario().name())).append(", seed ").append(p.seed()).append("</h1><p>").append(text(p.scenario().about())).append("</p>");
        if (p.aborted()) {
            b.append("<p class=bad>Interrupted: the results cover the time until the interruption.</p>");
        }
        if (p.scriptError() != null) {
            b.append("<p class=bad>The script failed: ").append(text(p.scriptError())).append("</p>");
        }
        b.append(p.violations().isEmpty() ? "<p>No rule violated.</p>" : "<p class=bad>" + p.violations().size() + " rule violations.</p>");
        table(b, "", Map.of("all", p.statistics().all()));
        b.append("<h2>Service by second</h2>").append(image(service(p)));
        b.append("<table><tr><th>second<th>step</tr>");
        p.timeline().forEach(m -> b.append(String.format(Locale.ROOT, "<tr><td>%.2f<td style=\"text-align:left\">%s</tr>", m.elapsedUs() / 1e6, text(m.what()))));
        b.append("</table>");
        table(b, "By class", p.statistics().classes());
        table(b, "By tenant", p.statistics().tenants());
        table(b, "By dispatcher", p.statistics().dispatchers());
        b.append(image(outcomes(p)));
        if (!p.violations().isEmpty()) {
            b.append("<h2>Rule violations</h2>");
            p.violations().stream().limit(MAX_VIOLATIONS).forEach(v -> b.append("<h3>").append(text(v.toString())).append("</h3>").append(trace(v)));
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
            b.append("<tr><td>").append(text(name)).append("<td>").append(r.requests).append(String.format(Locale.ROOT, "<td>%.3f", r.servedValueShare()));
            for (RequestStatistics.Outcome e : RequestStatistics.Outcome.values()) {
                b.append("<td>").append(r.count(e));
            }
            b.append(String.format(Locale.ROOT, "<td>%.0f<td>%.0f</tr>", r.latencyMs(50), r.latencyMs(99)));
        });
        b.append("</table>");
    }

    private static XYChart service(TestRun p) {
        XYChart c = new XYChartBuilder().width(WIDTH).height(HEIGHT).xAxisTitle("seconds since the start of the load").yAxisTitle("share of value served in time").build();
        c.getStyler().setYAxisMin(0.0).setYAxisMax(1.0).setLegendVisible(false).setAnnotationLineColor(new Color(176, 0, 0, 120));
        List<Double> at = new ArrayList<>();
        List<Double> service = new ArrayList<>();
        List<RequestStatistics.Summary> seconds = p.statistics().seconds();
        for (int i = 0; i < seconds.size(); i++) {
            at.add(i + 0.5);
            service.add(seconds.get(i).servedValueShare());
        }
        if (at.isEmpty()) {
            at.add(0.0);
            service.add(0.0);
        }
        c.addSeries("service", at, service).setMarker(SeriesMarkers.CIRCLE);
        for (FaultScript.PerformedStep m : p.timeline()) {
            AnnotationLine line = new AnnotationLine(m.elapsedUs() / 1e6, true, false);
            c.addAnnotation(line);
        }
        return c;
    }

    private static CategoryChart outcomes(TestRun p) {
        CategoryChart c = new CategoryChartBuilder().width(WIDTH).height(HEIGHT).yAxisTitle("requests").build();
        c.getStyler().setStacked(true);
        List<String> names = p.statistics().dispatchers().isEmpty() ? List.of("none") : List.copyOf(p.statistics().dispatchers().keySet());
        for (RequestStatistics.Outcome e : RequestStatistics.Outcome.values()) {
            c.addSeries(e.name().toLowerCase(Locale.ROOT).replace('_', ' '), names, names.stream().map(n ->
                    p.statistics().dispatchers().containsKey(n) ? (Number) p.statistics().dispatchers().get(n).count(e) : 0L).toList());
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
