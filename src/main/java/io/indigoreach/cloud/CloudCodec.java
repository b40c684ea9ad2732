package io.indigoreach.cloud;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.ListedMachine;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The cloud's words: its paths, and each request and answer both written and read here. */
public final class CloudCodec {
    public static final String TYPES = "/catalog";
    public static final String MACHINES = "/machines";
    public static final String RETURN = "/machines/return";
    public static final String AFTER = "since";
    public static final String MOST = "most";
    public static final String NO_CAPACITY = "no capacity";
    /** Machines in one page of the list, in one rental, and names in one return, at most. */
    public static final int MOST_LISTED = 500;

    public static final int MOST_RENTED = 50;
    public static final int MOST_RETURNED = 100;

    /** A rental request. */
    public record Rental(String name, MachinePool pool, int count) {}

    /** A machine in the list, with its address; null while it is not known. */
    public record Listed(ListedMachine machine, String address) {}

    /** A page of the list of machines. */
    public record Page(List<Listed> machines, boolean more) {}

    private CloudCodec() {}

    static String listPath(MachineId after) {
        return MACHINES + "?" + MOST + "=" + MOST_LISTED + (after == null ? "" : "&" + AFTER + "=" + after);
    }

    public static Map<String, Object> writeTypes(List<MachineType> types) {
        List<Object> list = new ArrayList<>();
        for (MachineType type : types) {
            list.add(MessagePackFormat.map(
                    "label",
                    type.name(),
                    "cores",
                    type.capacity().cores(),
                    "gpus",
                    type.capacity().gpus(),
                    "ram_gb",
                    type.capacity().ramGb(),
                    "cache_gb",
                    type.cacheGb(),
                    "fetch_gb_per_s",
                    type.fetchGbPerS(),
                    "price",
                    type.price(),
                    "low_price",
                    type.spotPrice(),
                    "boot_s",
                    type.boot().seconds(),
                    "halls",
                    type.zones()));
        }
        return MessagePackFormat.map("boxkinds", list);
    }

    static List<MachineType> readTypes(Fields f) {
        List<MachineType> types = new ArrayList<>();
        for (Fields t : f.children("boxkinds")) {
            List<String> zones = t.optionalTexts("halls");
            types.add(new MachineType(
                    t.text("label"),
                    new Demand(t.number("cores"), t.number("gpus", 0), t.number("ram_gb")),
                    t.number("cache_gb", 0),
                    t.number("fetch_gb_per_s", 0),
                    t.number("price"),
                    t.number("low_price", 0),
                    Span.seconds(t.number("boot_s", 60)),
                    zones == null ? List.of() : zones));
        }
        return types;
    }

    static Map<String, Object> writeRental(Rental r) {
        return MessagePackFormat.map(
                "hire",
                r.name(),
                "boxkind",
                r.pool().type(),
                "hall",
                r.pool().zone(),
                "loaners",
                r.pool().spot(),
                "count",
                r.count());
    }

    public static Rental readRental(Fields f) {
        return new Rental(
                f.text("hire"), new MachinePool(f.text("boxkind"), f.text("hall"), f.flag("loaners", false)), (int)
                        f.whole("count"));
    }

    /** Machines by name: those rented, in an answer; those to be returned, in a request. */
    public static Map<String, Object> writeNames(List<MachineId> machines) {
        return MessagePackFormat.map(
                "boxes", machines.stream().map(MachineId::text).toList());
    }

    public static List<MachineId> readNames(Fields f) {
        List<String> names = f.optionalTexts("boxes");
        return names == null ? List.of() : names.stream().map(MachineId::new).toList();
    }

    public static Map<String, Object> writePage(Page page) {
        List<Object> list = new ArrayList<>(page.machines().size());
        for (Listed l : page.machines()) {
            ListedMachine m = l.machine();
            list.add(MessagePackFormat.map(
                    "id",
                    m.id().text(),
                    "endpoint",
                    l.address(),
                    "boxkind",
                    m.pool().type(),
                    "hall",
                    m.pool().zone(),
                    "loaners",
                    m.pool().spot(),
                    "status",
                    word(m.status()),
                    "held_s",
                    m.sinceRequested().seconds()));
        }
        return MessagePackFormat.map("boxes", list, "truncated", page.more());
    }

    static Page readPage(Fields f) {
        List<Listed> list = new ArrayList<>();
        for (Fields m : f.children("boxes")) {
            list.add(new Listed(
                    new ListedMachine(
                            new MachineId(m.text("id")),
                            new MachinePool(m.text("boxkind"), m.text("hall"), m.flag("loaners", false)),
                            status(m.text("status")),
                            Span.seconds(m.number("held_s", 0))),
                    m.optionalText("endpoint")));
        }
        return new Page(list, f.flag("truncated", false));
    }

    private static String word(ListedMachine.Status status) {
        return switch (status) {
            case STARTING -> "starting";
            case FAILED -> "failed";
            case RUNNING -> "running";
        };
    }

    private static ListedMachine.Status status(String word) {
        return switch (word) {
            case "starting" -> ListedMachine.Status.STARTING;
            case "failed" -> ListedMachine.Status.FAILED;
            default -> ListedMachine.Status.RUNNING;
        };
    }
}
