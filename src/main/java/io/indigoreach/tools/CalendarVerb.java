package io.indigoreach.tools;

import io.indigoreach.calendar.CalendarCodec;
import io.indigoreach.calendar.JavaZones;
import io.indigoreach.config.ConfigException;
import io.indigoreach.core.calendar.Calendar;
import io.indigoreach.core.calendar.CalendarCheck;
import io.indigoreach.core.calendar.Choice;
import io.indigoreach.core.calendar.Day;
import io.indigoreach.core.calendar.Mark;
import io.indigoreach.core.calendar.Occurrence;
import io.indigoreach.core.calendar.Occurrences;
import io.indigoreach.core.calendar.Register;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.scenario.TextForm;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The deadline calendar for people. */
@Command(
        name = "calendar",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "VERB",
        description = "Plans that are to be ready before departures: sets them, and says how they stand.",
        footer = {
            "",
            "Exit codes: 1 a wrong file, or another version is in force; 3 a plan can't be ready; 4 no answer.",
            "",
            "Examples:",
            "  indigoreach calendar check examples/calendar/depots.textproto",
            "  indigoreach calendar set examples/calendar/depots.textproto --note \"Onam's dates\"",
            "  indigoreach calendar outlook",
            "  indigoreach calendar explain kochi-tankers@2027-08-24"
        })
final class CalendarVerb {
    private static final String PATH = "/api/calendar";
    /** Days of occurrences whose tasks an emulator is told of when a calendar is set. */
    private static final int UPLOADED_DAYS = 14;

    private static Calendar read(Path file, CalendarFile form) {
        Calendar calendar = form.calendar();
        List<CalendarCheck.Finding> findings =
                CalendarCheck.of(calendar, new JavaZones(), today(), CalendarCheck.AHEAD);
        if (!findings.isEmpty()) {
            findings.stream().skip(1).forEach(f -> System.err.println(file + ": " + f));
            throw new Failure(Tool.WRONG, file + ": " + findings.get(0));
        }
        return calendar;
    }

    private static Day today() {
        return new Day(LocalDate.now(ZoneOffset.UTC).toEpochDay());
    }

    /** Its answer, if it is what was asked for; 404 and 422 say why not. */
    private static Fields get(Cluster c, String path) {
        ServiceResponse r = c.call("GET", PATH + path, null);
        if (r.status() != 200) {
            throw new Failure(Tool.WRONG, String.valueOf(r.body().optionalText("error")));
        }
        return r.body();
    }

    private static void print(boolean json, Fields row, String line) {
        System.out.println(json ? new JsonObject(row.map()).encode() : line);
    }

    @Command(mixinStandardHelpOptions = true, description = "Checks a calendar's file without setting it.")
    int check(@Parameters(paramLabel = "FILE") Path file) throws ConfigException {
        Calendar calendar = read(file, TextForm.read(file, CalendarFile.class));
        CalendarCheck.missing(calendar, new JavaZones(), today())
                .forEach(m -> System.out.println("to be entered: " + m));
        System.out.println("ok");
        return Tool.DONE;
    }

    @Command(mixinStandardHelpOptions = true, description = "Lists what may stand in a calendar's file.")
    int fields() {
        TextForm.fields(CalendarFile.class).forEach(System.out::println);
        return Tool.DONE;
    }

    @Command(
            mixinStandardHelpOptions = true,
            description = "Puts a calendar in force, in place of the version it was made from.")
    int set(
            @Mixin Cluster.Choice cluster,
            @Parameters(paramLabel = "FILE") Path file,
            @Option(
                            names = "--base",
                            paramLabel = "VERSION",
                            defaultValue = "-1",
                            description = "the version it was made from; by default the one in force now")
                    int base,
            @Option(names = "--note", defaultValue = "", description = "why, for those who look it up later")
                    String note)
            throws ConfigException, IOException {
        CalendarFile form = TextForm.read(file, CalendarFile.class);
        Calendar calendar = read(file, form);
        String text = CalendarCodec.pack(new CalendarCodec.Stored(calendar, Register.EMPTY, Files.readString(file)));
        try (Cluster c = cluster.open()) {
            int from = base >= 0 ? base : (int) get(c, "").wholeNumber("version");
            ServiceResponse r = c.call("POST", PATH, MessagePackFormat.map("base", from, "text", text, "note", note));
            if (r.status() == 409) {
                Fields against = r.body().child("against");
                throw new Failure(
                        Tool.WRONG,
                        "version " + against.wholeNumber("version") + " is in force (" + against.optionalText("note")
                                + "), and this was made from " + from
                                + ": look at it with calendar show --file, then set again");
            }
            if (r.status() != 200) {
                throw new Failure(Tool.WRONG, r.status() + " " + r.body().optionalText("error"));
            }
            print(cluster.json, r.body(), "calendar " + r.body().wholeNumber("version") + " is in force");
            if (!cluster.json) {
                CalendarCheck.missing(calendar, new JavaZones(), today())
                        .forEach(m -> System.out.println("to be entered: " + m));
            }
            upload(c, form);
        }
        return Tool.DONE;
    }

    /** An emulated worker must know what a job's tasks do; ids of occurrences are known ahead. */
    private static void upload(Cluster c, CalendarFile form) {
        CalendarCodec.Stored stored = CalendarCodec.unpack(get(c, "").text("text"));
        new Occurrences(stored.calendar(), new JavaZones())
                .between(today().plus(-1), today().plus(UPLOADED_DAYS)).stream()
                        .filter(Occurrence::runs)
                        .forEach(o -> {
                            JobId id = stored.register()
                                    .entries()
                                    .get(o.plan().name())
                                    .id(o.day(), 0);
                            Mark mark = new Mark(
                                    o.plan().name(), Mark.State.CHOSEN, id, 0, o.departs(), 0, 0, o.tasks(), "");
                            JobSpec spec = Choice.job(o, mark, o.departs() - 1000);
                            c.upload(spec, SubmitVerb.conduct(form.job(o.plan().name())));
                        });
    }

    @Command(mixinStandardHelpOptions = true, description = "Shows the version in force, or an older one.")
    int show(
            @Mixin Cluster.Choice cluster,
            @Option(
                            names = "--version-number",
                            defaultValue = "0",
                            paramLabel = "VERSION",
                            description = "an older version")
                    int version,
            @Option(names = "--file", description = "as its operators wrote it") boolean file)
            throws ConfigException {
        try (Cluster c = cluster.open()) {
            Fields f = get(c, version > 0 ? "/versions/" + version : "");
            if (f.wholeNumber("version") == 0) {
                System.out.println("no calendar was ever set");
                return Tool.DONE;
            }
            CalendarCodec.Stored stored = CalendarCodec.unpack(f.text("text"));
            if (file) {
                System.out.print(stored.file());
                return Tool.DONE;
            }
            if (cluster.json) {
                System.out.println(
                        new JsonObject(f.map()).put("file", stored.file()).encode());
                return Tool.DONE;
            }
            System.out.println("version    " + f.wholeNumber("version"));
            Calendar k = stored.calendar();
            k.depots().forEach(d -> System.out.println("depot      " + d.name() + " (" + d.zone() + ")"));
            k.regions()
                    .forEach(r -> System.out.println(
                            "region     " + r.name() + ": " + r.holidays().size() + " holidays, years " + r.years()));
            k.seasons()
                    .forEach(s -> s.years()
                            .forEach(y ->
                                    System.out.println("season     " + s.name() + ": " + y.from() + " to " + y.to())));
            k.plans()
                    .forEach(p -> System.out.println("plan       " + p.name() + " before " + p.depot() + ", "
                            + p.template().tasks() + " tasks of " + p.template().jobClass()));
            for (Fields v : f.children("history")) {
                System.out.println("set        " + v.wholeNumber("version") + " at "
                        + new JavaZones().text("UTC", v.wholeNumber("at")) + " " + v.text("note"));
            }
        }
        return Tool.DONE;
    }

    @Command(mixinStandardHelpOptions = true, description = "Lists the next occurrences.")
    int next(
            @Mixin Cluster.Choice cluster,
            @Option(names = "--days", defaultValue = "30", description = "days ahead, 400 at most") int days,
            @Option(names = "--plan", description = "only this plan's") String plan)
            throws ConfigException {
        try (Cluster c = cluster.open()) {
            Day from = today();
            Day end = from.plus(days);
            while (from.compareTo(end) < 0) {
                Fields f = get(
                        c,
                        "/next?days=" + (end.number() - from.number()) + "&from=" + from
                                + (plan == null ? "" : "&plan=" + URLEncoder.encode(plan, StandardCharsets.UTF_8)));
                for (Fields o : f.children("occurrences")) {
                    print(
                            cluster.json,
                            o,
                            String.format(
                                    Locale.ROOT,
                                    "%-32s %-8s %-24s %6d tasks  %s",
                                    o.text("plan") + "@" + o.text("day"),
                                    o.text("kind"),
                                    o.has("departs_local") ? o.text("departs_local") : "-",
                                    o.wholeNumber("tasks"),
                                    o.text("reason")));
                }
                from = f.has("more") ? Day.parse(f.text("more")) : end;
            }
        }
        return Tool.DONE;
    }

    @Command(
            mixinStandardHelpOptions = true,
            description = "Says which plans can't be ready, by how much, why, and what would mend it; "
                    + "exit code 3 if there is one.")
    int outlook(
            @Mixin Cluster.Choice cluster,
            @Option(names = "--days", defaultValue = "2", description = "days ahead, 14 at most") int days)
            throws ConfigException {
        try (Cluster c = cluster.open()) {
            Fields f = get(c, "/outlook?days=" + days);
            for (Fields o : f.children("occurrences")) {
                print(cluster.json, o, line(o));
            }
            List<String> unknown = f.optionalTexts("unknown");
            if (!cluster.json) {
                unknown.forEach(u -> System.out.println("not started " + u));
            }
            return f.wholeNumber("bad") > 0 || !unknown.isEmpty() ? Tool.BROKEN : Tool.DONE;
        }
    }

    private static String line(Fields o) {
        List<String> more = new ArrayList<>();
        if (o.number("late_s") > 0) {
            more.add("late by " + Math.round(o.number("late_s") / 60) + " min");
        }
        for (String field : new String[] {"why", "mend", "reason"}) {
            if (o.has(field) && !o.text(field).isEmpty()) {
                more.add(field + ": " + o.text(field));
            }
        }
        return String.format(
                        Locale.ROOT,
                        "%-6s %-32s departs %s, starts by %s, takes %s  %s %s",
                        o.text("verdict"),
                        o.text("plan") + "@" + o.text("day"),
                        o.text("departs_local"),
                        new JavaZones().text("UTC", o.wholeNumber("latest_start")),
                        o.has("needed_s") ? Math.round(o.number("needed_s")) + " s" : "-",
                        o.has("state") ? o.text("state") : "",
                        String.join("; ", more))
                .stripTrailing();
    }

    @Command(mixinStandardHelpOptions = true, description = "Says all that is known of one occurrence.")
    int explain(
            @Mixin Cluster.Choice cluster,
            @Parameters(paramLabel = "PLAN@DAY", description = "such as kochi@2027-08-24") String occurrence)
            throws ConfigException {
        int at = occurrence.lastIndexOf('@');
        if (at < 0) {
            throw new Failure(Tool.USAGE, "an occurrence is PLAN@DAY, such as kochi@2027-08-24");
        }
        try (Cluster c = cluster.open()) {
            Fields o = get(
                    c,
                    "/explain/" + URLEncoder.encode(occurrence.substring(0, at), StandardCharsets.UTF_8) + "/"
                            + occurrence.substring(at + 1));
            if (cluster.json) {
                System.out.println(new JsonObject(o.map()).encode());
                return Tool.DONE;
            }
            o.map().forEach((name, value) -> {
                boolean instant = List.of("departs", "latest_start", "decided_departs", "decided_latest", "since")
                        .contains(name);
                if (value != null && !"".equals(value)) {
                    System.out.printf(
                            Locale.ROOT,
                            "%-16s %s%n",
                            name,
                            instant ? new JavaZones().text("UTC", ((Number) value).longValue()) : value);
                }
            });
            return o.has("verdict") && !"ready".equals(o.text("verdict")) && !"tight".equals(o.text("verdict"))
                    ? Tool.BROKEN
                    : Tool.DONE;
        }
    }
}
