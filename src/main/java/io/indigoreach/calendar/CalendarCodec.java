package io.indigoreach.calendar;

import io.indigoreach.api.JobCodec;
import io.indigoreach.core.calendar.Calendar;
import io.indigoreach.core.calendar.Day;
import io.indigoreach.core.calendar.Depot;
import io.indigoreach.core.calendar.Plan;
import io.indigoreach.core.calendar.Region;
import io.indigoreach.core.calendar.Register;
import io.indigoreach.core.calendar.Season;
import io.indigoreach.core.calendar.TimeOfDay;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.WireException;
import io.vertx.core.buffer.Buffer;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * A calendar as it is sent and kept: MessagePack, deflated, as text, since 500 plans much alike are 200 KB and a request may have
 * 64 KiB. The operators' own file goes with it, so that the next one can go on from it.
 */
public final class CalendarCodec {
    /** What a text may come to when it is unpacked: a node has little memory. */
    private static final int LARGEST = 2_000_000;
    /** Beside it a request has its other fields. */
    public static final int LONGEST_TEXT = 60_000;

    /** A calendar with what a version keeps beside it. */
    public record Stored(Calendar calendar, Register register, String file) {}

    private CalendarCodec() {}

    public static String pack(Stored stored) {
        Map<String, Object> map = write(stored.calendar());
        List<Object> blocks = new ArrayList<>();
        new TreeMap<>(stored.register().entries())
                .forEach((name, e) -> blocks.add(List.of(name, e.block(), e.since())));
        map.put("blocks", blocks);
        map.put("next_block", stored.register().next());
        map.put("file", stored.file());
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflated = new DeflaterOutputStream(out)) {
            deflated.write(MessagePackFormat.write(map).getBytes());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return Base64.getEncoder().encodeToString(out.toByteArray());
    }

    /** Throws {@link WireException} if it is not what {@link #pack} makes. */
    public static Stored unpack(String text) {
        byte[] bytes;
        try (InflaterInputStream in = new InflaterInputStream(
                new ByteArrayInputStream(Base64.getDecoder().decode(text)))) {
            bytes = in.readNBytes(LARGEST + 1);
        } catch (IOException | IllegalArgumentException e) {
            throw Fields.invalid("text");
        }
        if (bytes.length > LARGEST) {
            throw Fields.invalid("text");
        }
        Fields f = MessagePackFormat.readMap(Buffer.buffer(bytes));
        Map<String, Register.Entry> blocks = new LinkedHashMap<>();
        f.lists("blocks")
                .forEach(b -> blocks.put((String) b.get(0), new Register.Entry(whole(b.get(1)), whole(b.get(2)))));
        return new Stored(
                read(f), new Register(f.wholeNumber("next_block", 1), blocks), f.has("file") ? f.text("file") : "");
    }

    /** Names a text by its contents. */
    public static String digest(String text) {
        try {
            byte[] sum = MessageDigest.getInstance("SHA-256")
                    .digest(text.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            return HexFormat.of().formatHex(sum, 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Map<String, Object> write(Calendar c) {
        return MessagePackFormat.map(
                "cores",
                c.cores(),
                "regions",
                each(
                        c.regions(),
                        r -> MessagePackFormat.map(
                                "name",
                                r.name(),
                                "years",
                                numbers(r.years()),
                                "holidays",
                                each(r.holidays(), h -> List.of(h.day().number(), h.name())))),
                "seasons",
                each(
                        c.seasons(),
                        s -> MessagePackFormat.map(
                                "name",
                                s.name(),
                                "years",
                                each(s.years(), d -> List.of(d.from().number(), d.to().number())))),
                "depots",
                each(
                        c.depots(),
                        d -> MessagePackFormat.map(
                                "name",
                                d.name(),
                                "zone",
                                d.zone(),
                                "region",
                                d.region(),
                                "weekly",
                                each(d.weekly(), w -> List.of((long) w.at().minute(), numbers(w.weekdays()))),
                                "exceptions",
                                each(d.exceptions(), e -> List.of(e.day().number(), minute(e.at()))))),
                "plans",
                each(
                        c.plans(),
                        p -> MessagePackFormat.map(
                                "name",
                                p.name(),
                                "depot",
                                p.depot(),
                                "at",
                                minute(p.at()),
                                "weekdays",
                                numbers(p.days().weekdays()),
                                "month_days",
                                numbers(p.days().daysOfMonth()),
                                "months",
                                numbers(p.days().months()),
                                "margin_ms",
                                p.margin().ms(),
                                "on_holiday",
                                p.onHoliday().name().toLowerCase(Locale.ROOT),
                                "boosts",
                                each(p.boosts(), b -> List.of(b.season(), b.times())),
                                "job",
                                JobCodec.write(p.template()))));
    }

    private static Calendar read(Fields f) {
        return checked(
                "calendar",
                () -> new Calendar(
                        f.number("cores"),
                        each(
                                f.children("regions"),
                                r -> new Region(
                                        r.text("name"),
                                        numbers(r, "years"),
                                        each(
                                                r.lists("holidays"),
                                                h -> new Region.Holiday(new Day(whole(h.get(0))), (String) h.get(1))))),
                        each(
                                f.children("seasons"),
                                s -> new Season(
                                        s.text("name"),
                                        each(
                                                s.lists("years"),
                                                d -> new Season.Dates(
                                                        new Day(whole(d.get(0))), new Day(whole(d.get(1))))))),
                        each(
                                f.children("depots"),
                                d -> new Depot(
                                        d.text("name"),
                                        d.text("zone"),
                                        d.text("region"),
                                        each(
                                                d.lists("weekly"),
                                                w -> new Depot.Weekly(
                                                        numbers((List<?>) w.get(1)), time(whole(w.get(0))))),
                                        each(
                                                d.lists("exceptions"),
                                                e -> new Depot.Exceptional(
                                                        new Day(whole(e.get(0))), time(whole(e.get(1))))))),
                        each(
                                f.children("plans"),
                                p -> new Plan(
                                        p.text("name"),
                                        p.text("depot"),
                                        time(p.wholeNumber("at")),
                                        new Plan.Days(
                                                numbers(p, "weekdays"), numbers(p, "month_days"), numbers(p, "months")),
                                        new Span(p.wholeNumber("margin_ms")),
                                        checked(
                                                "on_holiday",
                                                () -> Plan.OnHoliday.valueOf(
                                                        p.text("on_holiday").toUpperCase(Locale.ROOT))),
                                        each(
                                                p.lists("boosts"),
                                                b -> new Plan.Boost(
                                                        (String) b.get(0), ((Number) b.get(1)).doubleValue())),
                                        JobCodec.read(p.child("job"))))));
    }

    /** Whatever else is not as it should be is a fault of the field that has it. */
    private static <T> T checked(String field, Supplier<T> read) {
        try {
            return read.get();
        } catch (ClassCastException | IndexOutOfBoundsException | IllegalArgumentException | NullPointerException e) {
            throw Fields.invalid(field);
        }
    }

    private static <T, R> List<R> each(List<T> all, Function<T, R> one) {
        List<R> out = new ArrayList<>();
        all.forEach(x -> out.add(one.apply(x)));
        return out;
    }

    private static List<Long> numbers(List<Integer> all) {
        return each(all, n -> (long) n);
    }

    private static List<Integer> numbers(Fields f, String name) {
        return f.has(name) ? numbers((List<?>) f.map().get(name)) : List.of();
    }

    private static List<Integer> numbers(Iterable<?> all) {
        List<Integer> out = new ArrayList<>();
        all.forEach(n -> out.add((int) whole(n)));
        return out;
    }

    private static long whole(Object number) {
        return ((Number) number).longValue();
    }

    private static long minute(TimeOfDay at) {
        return at == null ? -1 : at.minute();
    }

    private static TimeOfDay time(long minute) {
        return minute < 0 ? null : new TimeOfDay((int) minute);
    }
}
