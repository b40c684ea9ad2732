package io.indigoreach.experiment;

import io.indigoreach.checker.Breach;
import io.indigoreach.checker.Event;
import io.indigoreach.load.Users;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** An experiment's report: as text, as JSON, and as a page with plots that needs nothing else. */
public final class Report {
    private static final String UPLOT = "/META-INF/resources/webjars/uplot/1.6.30/dist/";
    private static final double[] QUANTILES = {50, 90, 99, 100};
    private static final int MOST_SHOWN = 20;

    private final Experiment.Outcome outcome;
    private final Figures figures;

    public Report(Experiment.Outcome outcome) {
        this.outcome = outcome;
        this.figures = new Figures(outcome);
    }

    /** For people at a terminal. */
    public String text() {
        StringBuilder out = new StringBuilder();
        long over = outcome.jobs().stream()
                .filter(j -> j.isOver() && !j.isRefused())
                .count();
        long refused = outcome.jobs().stream().filter(Users.Mine::isRefused).count();
        line(
                out,
                "%s: %.1f s, seed %d, emulated machines",
                outcome.scenario().name(),
                outcome.took().seconds(),
                outcome.scenario().seed());
        line(
                out,
                "jobs       %d submitted, %d over, %d refused or never accepted, %d unfinished",
                outcome.jobs().size(),
                over,
                refused,
                outcome.jobs().size() - over - refused);
        line(out, "tasks      %d starts, %d done; ends: %s", figures.starts, figures.tasksDone, figures.causes);
        line(
                out,
                "money      %.4f spent; %.0f core seconds useful, %.0f lost",
                outcome.spent(),
                figures.usefulCoreS,
                figures.lostCoreS);
        line(
                out,
                "nodes      %.1f s of processor time in those that ran at the end; ended by themselves: %s",
                outcome.nodesCpuS(),
                outcome.endedBySelf().isEmpty() ? "none" : outcome.endedBySelf());
        line(out, "workers    %d reports", outcome.reports());
        line(out, "leaders    %s", figures.leadership);
        figures.latencies.forEach((name, h) -> line(
                out,
                "%-20s %6d times; ms: median %d, 90%% %d, 99%% %d, most %d",
                name,
                h.getTotalCount(),
                at(h, 50),
                at(h, 90),
                at(h, 99),
                at(h, 100)));
        figures.aims.forEach(a -> line(
                out,
                "aim        %s %s: %.2f of %d, wanted %.2f",
                a.isMet() ? "met   " : "missed",
                a.text(),
                a.met(),
                a.of(),
                a.wanted()));
        figures.served.forEach(s -> line(
                out,
                "served     %s: %d of %d by the end, %d within the longest aim; latest beginning " + "%.1f s",
                s.name(),
                s.byTheEnd(),
                s.of(),
                s.inTime(),
                s.latestBegin()));
        line(
                out,
                "checked    %d events in %.1f s",
                outcome.history().events().size(),
                outcome.checking().seconds());
        if (outcome.breaches().isEmpty()) {
            line(out, "rules      none broken");
        } else {
            line(
                    out,
                    "rules      BROKEN: %d times; the seed %d repeats the load and the faults",
                    outcome.breaches().size(),
                    outcome.scenario().seed());
            outcome.breaches().stream().limit(MOST_SHOWN).forEach(b -> {
                line(out, "  %s", b);
                b.shownBy().forEach(e -> line(out, "    %s", told(e)));
            });
        }
        return out.toString();
    }

    private static void line(StringBuilder out, String form, Object... values) {
        out.append(String.format(Locale.ROOT, form, values)).append('\n');
    }

    private String told(Event e) {
        return String.format(
                Locale.ROOT,
                "%.3f s %s",
                e.at().since(outcome.start()).seconds(),
                e instanceof Event.Committed c
                        ? "Committed by " + c.node() + " at " + c.revision() + ": "
                                + io.indigoreach.state.StateCodec.writeTxn(c.txn())
                        : e.toString());
    }

    private static long at(Histogram h, double quantile) {
        return h.getTotalCount() == 0 ? 0 : h.getValueAtPercentile(quantile);
    }

    /** The longest that any of a class's largest jobs waited until its first task ran, in seconds. */
    public double latestBegin() {
        return figures.served.stream()
                .mapToDouble(Figures.Served::latestBegin)
                .max()
                .orElse(0);
    }

    /** The smallest share of any class, of its largest jobs or of a team that was served, by the end and within its longest aim. */
    public double leastServed() {
        return figures.served.stream().mapToDouble(Figures.Served::least).min().orElse(1);
    }

    /** For programs. */
    public JsonObject json() {
        JsonObject latencies = new JsonObject();
        figures.latencies.forEach((name, h) -> {
            JsonObject quantiles = new JsonObject().put("count", h.getTotalCount());
            for (double q : QUANTILES) {
                quantiles.put("p" + (int) q, at(h, q));
            }
            latencies.put(name.replace(' ', '_') + "_ms", quantiles);
        });
        JsonArray aims = new JsonArray();
        figures.aims.forEach(a -> aims.add(new JsonObject()
                .put("aim", a.text())
                .put("wanted", a.wanted())
                .put("met", a.met())
                .put("of", a.of())));
        JsonArray served = new JsonArray();
        figures.served.forEach(s -> served.add(new JsonObject()
                .put("who", s.name())
                .put("of", s.of())
                .put("by_the_end", s.byTheEnd())
                .put("in_time", s.inTime())
                .put("latest_begin_s", Double.isInfinite(s.latestBegin()) ? null : s.latestBegin())));
        JsonArray breaches = new JsonArray();
        for (Breach b : outcome.breaches()) {
            breaches.add(new JsonObject()
                    .put("rule", b.rule().word())
                    .put("at_ms", b.atMs())
                    .put("what", b.what())
                    .put(
                            "shown_by",
                            new JsonArray(b.shownBy().stream().map(this::told).toList())));
        }
        return new JsonObject()
                .put("name", outcome.scenario().name())
                .put("seed", outcome.scenario().seed())
                .put("took_s", outcome.took().seconds())
                .put("jobs", outcome.jobs().size())
                .put(
                        "jobs_over",
                        outcome.jobs().stream()
                                .filter(j -> j.isOver() && !j.isRefused())
                                .count())
                .put(
                        "jobs_refused",
                        outcome.jobs().stream().filter(Users.Mine::isRefused).count())
                .put("task_starts", figures.starts)
                .put("tasks_done", figures.tasksDone)
                .put("spent", outcome.spent())
                .put("useful_core_s", figures.usefulCoreS)
                .put("lost_core_s", figures.lostCoreS)
                .put("reports", outcome.reports())
                .put("leaderships", figures.leadership.leaderships())
                .put("leases_renewed", figures.leadership.renewals())
                .put("leases_renewed_to_older_tokens", figures.leadership.renewalsToOlderTokens())
                .put("longest_life_of_a_cancelled_task_s", figures.leadership.longestCancelledLifeS())
                .put("ended_by_themselves", new JsonArray(outcome.endedBySelf()))
                .put("latencies", latencies)
                .put("aims", aims)
                .put("served", served)
                .put("broken", breaches);
    }

    /** Writes {@code report.html}, {@code report.txt} and {@code report.json} into a directory. */
    public Path write(Path directory) throws IOException {
        Files.createDirectories(directory);
        Files.writeString(directory.resolve("report.txt"), text());
        Files.writeString(directory.resolve("report.json"), json().encodePrettily() + "\n");
        return Files.writeString(directory.resolve("report.html"), html());
    }

    private String html() {
        JsonObject plots = new JsonObject();
        plots.put(
                "queue",
                series(
                        figures.queue.stream()
                                .map(p -> List.<Number>of(p.atS(), p.waiting(), p.running()))
                                .toList(),
                        3));
        plots.put(
                "machines",
                series(
                        outcome.samples().stream()
                                .map(s -> List.<Number>of(
                                        s.atS(),
                                        s.cloud().up(),
                                        s.cloud().booting(),
                                        s.cloud().failed()))
                                .toList(),
                        4));
        plots.put(
                "money",
                series(
                        outcome.samples().stream()
                                .map(s -> List.<Number>of(s.atS(), s.cloud().spent()))
                                .toList(),
                        2));
        JsonArray latencies = new JsonArray();
        figures.latencies.forEach((name, h) -> {
            JsonArray quantiles = new JsonArray();
            JsonArray values = new JsonArray();
            for (double q = 0; q <= 100; q += q < 90 ? 2 : q < 99 ? 0.5 : 0.1) {
                quantiles.add(Math.min(100, q));
                values.add(at(h, Math.min(100, q)));
            }
            latencies.add(new JsonObject()
                    .put("name", name)
                    .put("data", new JsonArray().add(quantiles).add(values)));
        });
        plots.put("latencies", latencies);
        JsonArray troubles = new JsonArray();
        outcome.scenario()
                .fault()
                .forEach(f -> troubles.add(new JsonArray()
                        .add(f.atS())
                        .add(f.endsS())
                        .add(f.kind().name().toLowerCase(Locale.ROOT) + (f.to().isEmpty() ? "" : " " + f.to()))));
        plots.put("faults", troubles);
        return resource("report.html")
                .replace("/*UPLOT_CSS*/", resource(UPLOT + "uPlot.min.css"))
                .replace("/*UPLOT_JS*/", resource(UPLOT + "uPlot.iife.min.js"))
                .replace("<!--NAME-->", escaped(outcome.scenario().name()))
                .replace("<!--TEXT-->", escaped(text()))
                .replace("/*VERDICT*/", outcome.breaches().isEmpty() ? "good" : "broken")
                .replace(
                        "<!--VERDICT-->",
                        outcome.breaches().isEmpty()
                                ? "No rule was broken."
                                : escaped(outcome.breaches().size() + " times a rule was broken; first: "
                                        + outcome.breaches().get(0)))
                .replace("/*PLOTS*/", plots.encode().replace("<", "\\u003c"));
    }

    private static JsonArray series(List<List<Number>> points, int columns) {
        JsonArray all = new JsonArray();
        for (int c = 0; c < columns; c++) {
            JsonArray column = new JsonArray();
            for (List<Number> p : points) {
                column.add(p.get(c));
            }
            all.add(column);
        }
        return all;
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static String resource(String name) {
        try (InputStream in = Report.class.getResourceAsStream(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
