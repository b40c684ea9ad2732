package io.indigoreach.warm;

import io.indigoreach.core.accounts.Account;
import io.indigoreach.core.accounts.Line;
import io.indigoreach.core.accounts.Sheet;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.warm.BurstWindow;
import io.indigoreach.core.warm.DemandHistory;
import io.indigoreach.core.warm.PoolSpec;
import io.indigoreach.core.warm.PoolStatus;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Pools, machines' lines and sums as they stand in records and in answers. */
public final class PoolCodec {
    private static final Pattern CLOCK = Pattern.compile("([01][0-9]|2[0-3]):([0-5][0-9])");
    private static final double LARGEST = 1e9;
    private static final int LONGEST = 200;

    private PoolCodec() {}

    public static Map<String, Object> write(PoolSpec p) {
        List<Object> windows = new ArrayList<>();
        p.windows().forEach(w -> windows.add(List.of(clock(w.from()), clock(w.to()), w.replicas())));
        return MessagePackFormat.map(
                "team",
                p.team(),
                "image",
                p.image(),
                "gb",
                p.gb(),
                "cores",
                p.replica().cores(),
                "gpus",
                p.replica().gpus(),
                "ram_gb",
                p.replica().ramGb(),
                "types",
                p.types(),
                "zones",
                p.zones(),
                "zone_part",
                p.zonePart(),
                "least",
                p.least(),
                "most",
                p.most(),
                "wanted",
                p.wanted(),
                "windows",
                windows,
                "learned",
                p.learned(),
                "budget",
                p.budget(),
                "spot",
                p.spot());
    }

    /** Throws {@link io.indigoreach.net.WireException} with the name of a field that is missing or of the wrong kind. */
    public static PoolSpec read(String name, Fields f) {
        List<BurstWindow> windows = new ArrayList<>();
        for (List<?> w : f.lists("windows")) {
            if (w.size() != 3 || !(w.get(2) instanceof Number n)) {
                throw Fields.invalid("windows");
            }
            windows.add(new BurstWindow(minutes(w.get(0)), minutes(w.get(1)), n.doubleValue()));
        }
        List<String> types = f.optionalTexts("types");
        List<String> zones = f.optionalTexts("zones");
        return new PoolSpec(
                name,
                text(f, "team"),
                text(f, "image"),
                amount(f, "gb"),
                new Demand(
                        amount(f, "cores"),
                        f.has("gpus") ? amount(f, "gpus") : 0,
                        f.has("ram_gb") ? amount(f, "ram_gb") : 0),
                types == null ? List.of() : types,
                zones == null ? List.of() : zones,
                f.number("zone_part", 1),
                count(f, "least"),
                count(f, "most"),
                f.number("wanted", 0.95),
                windows,
                f.flag("learned", false),
                f.number("budget", 0),
                f.flag("spot", false));
    }

    private static String text(Fields f, String name) {
        String value = f.text(name);
        if (value.isEmpty() || value.length() > LONGEST) {
            throw Fields.invalid(name);
        }
        return value;
    }

    private static double amount(Fields f, String name) {
        double value = f.number(name);
        if (value < 0 || value > LARGEST) {
            throw Fields.invalid(name);
        }
        return value;
    }

    private static int count(Fields f, String name) {
        long value = f.wholeNumber(name);
        if (value < 0 || value > LARGEST) {
            throw Fields.invalid(name);
        }
        return (int) value;
    }

    private static String clock(int minutes) {
        return String.format(Locale.ROOT, "%02d:%02d", minutes / 60, minutes % 60);
    }

    private static int minutes(Object clock) {
        Matcher m = CLOCK.matcher(String.valueOf(clock));
        if (!m.matches()) {
            throw Fields.invalid("windows");
        }
        return Integer.parseInt(m.group(1)) * 60 + Integer.parseInt(m.group(2));
    }

    /** Lines are lists, as a thousand of them are written. */
    static Map<String, Object> write(Sheet sheet) {
        List<Object> lines = new ArrayList<>();
        sheet.lines()
                .values()
                .forEach(l -> lines.add(List.of(
                        l.machine().text(),
                        l.where().type(),
                        l.where().zone(),
                        l.where().spot(),
                        l.begunMs(),
                        l.paidToMs(),
                        l.payer().pool(),
                        l.payer().team(),
                        l.image(),
                        l.gb(),
                        l.session())));
        return MessagePackFormat.map("lines", lines, "sums", writeSums(sheet.sums()));
    }

    static List<Object> writeSums(Map<Account, Double> sums) {
        List<Object> out = new ArrayList<>();
        sums.forEach((account, money) -> out.add(List.of(account.pool(), account.team(), money)));
        return out;
    }

    static Sheet readSheet(Map<String, Object> value) {
        Fields f = new Fields(value == null ? Map.of() : value);
        Map<MachineId, Line> lines = new LinkedHashMap<>();
        for (List<?> l : f.lists("lines")) {
            MachineId id = new MachineId((String) l.get(0));
            lines.put(
                    id,
                    new Line(
                            id,
                            new MachinePool((String) l.get(1), (String) l.get(2), (Boolean) l.get(3)),
                            whole(l, 4),
                            whole(l, 5),
                            new Account((String) l.get(6), (String) l.get(7)),
                            (String) l.get(8),
                            ((Number) l.get(9)).doubleValue(),
                            whole(l, 10)));
        }
        return new Sheet(lines, readSums(f));
    }

    static Map<Account, Double> readSums(Fields f) {
        Map<Account, Double> sums = new LinkedHashMap<>();
        for (List<?> s : f.lists("sums")) {
            sums.merge(
                    new Account((String) s.get(0), (String) s.get(1)), ((Number) s.get(2)).doubleValue(), Double::sum);
        }
        return sums;
    }

    private static long whole(List<?> line, int i) {
        return ((Number) line.get(i)).longValue();
    }

    static Map<String, Object> write(PoolStatus t) {
        return MessagePackFormat.map(
                "target",
                t.target(),
                "why",
                t.why(),
                "machines",
                t.seats(),
                "ready",
                t.ready(),
                "coming",
                t.coming(),
                "hits",
                t.hits(),
                "misses",
                t.misses(),
                "lost_per_hour",
                t.lost());
    }

    static Map<String, Object> write(DemandHistory seen) {
        List<Object> peaks = new ArrayList<>();
        for (int n : seen.recorded()) {
            peaks.add((long) n);
        }
        return MessagePackFormat.map("peaks", peaks);
    }

    static DemandHistory readSeen(Map<String, Object> value) {
        return value != null && value.get("peaks") instanceof List<?> l
                ? DemandHistory.of(
                        l.stream().mapToInt(n -> ((Number) n).intValue()).toArray())
                : new DemandHistory();
    }
}
