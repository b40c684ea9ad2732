package io.indigoreach.cloud;

import io.indigoreach.core.model.ListedMachine;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.List;
import java.util.Map;

/** Encodes and decodes the requests and responses of the cloud's API, and defines its paths. */
public final class CloudCodec {
    /** Path for reading the machine types. */
    public static final String TYPES_PATH = "/catalog";
    /** Path for listing machines (GET) and renting machines (POST). */
    public static final String MACHINES_PATH = "/machines";
    /** Path for returning machines. */
    public static final String RETURN_PATH = "/machines/return";
    /** Query parameter of the machine list: the last machine of the previous page. */
    public static final String AFTER_PARAMETER = "since";
    /** Query parameter of the machine list: the maximum page size. */
    public static final String PAGE_SIZE_PARAMETER = "most";
    /** The error text of a rental response if the pool has no capacity. */
    public static final String NO_CAPACITY_ERROR = "no capacity";
    /** Maximum number of machines in a page of the list. */
    public static final int MAX_MACHINES_PER_PAGE = 500;
    /** Maximum number of machines in a rental request. */
    public static final int MAX_MACHINES_PER_RENTAL = 50;
    /** Maximum number of machines in a return request. */
    public static final int MAX_MACHINES_PER_RETURN = 100;

    /**
     * A rental request.
     *
     * @param idempotencyKey identifies the request: the cloud answers a repeat with the same result
     */
    public record RentalRequest(String idempotencyKey, MachinePool pool, int count) {}

    /** An entry of the machine list; the address is null until the machine has one. */
    public record ListEntry(ListedMachine machine, String address) {}

    /** A page of the machine list. */
    public record Page(List<ListEntry> machines, boolean hasMore) {}

    /** Boot time of a machine type whose description has none, in seconds. */
    private static final double DEFAULT_BOOT_S = 60;

    private CloudCodec() {}

    static String listPath(MachineId after) {
        return MACHINES_PATH + "?" + PAGE_SIZE_PARAMETER + "=" + MAX_MACHINES_PER_PAGE
                + (after == null ? "" : "&" + AFTER_PARAMETER + "=" + after);
    }

    /** Encodes the response that lists the machine types. */
    public static Map<String, Object> writeTypes(List<MachineType> types) {
        return MessagePackFormat.map(
                "boxkinds", types.stream().map(CloudCodec::writeType).toList());
    }

    private static Map<String, Object> writeType(MachineType type) {
        return MessagePackFormat.map(
                "label", type.name(),
                "cores", type.capacity().cores(),
                "gpus", type.capacity().gpus(),
                "ram_gb", type.capacity().ramGb(),
                "cache_gb", type.imageCacheGb(),
                "fetch_gb_per_s", type.imageFetchGbPerS(),
                "price", type.onDemandPrice(),
                "low_price", type.spotPrice(),
                "boot_s", type.bootTime().seconds(),
                "halls", type.zones());
    }

    static List<MachineType> readTypes(Fields fields) {
        return fields.children("boxkinds").stream().map(CloudCodec::readType).toList();
    }

    private static MachineType readType(Fields fields) {
        List<String> zones = fields.optionalTexts("halls");
        return new MachineType(
                fields.text("label"),
                new Resources(fields.number("cores"), fields.number("gpus", 0), fields.number("ram_gb")),
                fields.number("cache_gb", 0),
                fields.number("fetch_gb_per_s", 0),
                fields.number("price"),
                fields.number("low_price", 0),
                Span.seconds(fields.number("boot_s", DEFAULT_BOOT_S)),
                zones == null ? List.of() : zones);
    }

    static Map<String, Object> writeRental(RentalRequest rental) {
        return MessagePackFormat.map(
                "hire", rental.idempotencyKey(),
                "boxkind", rental.pool().type(),
                "hall", rental.pool().zone(),
                "loaners", rental.pool().spot(),
                "count", rental.count());
    }

    /** Decodes a rental request. */
    public static RentalRequest readRental(Fields fields) {
        String idempotencyKey = fields.text("hire");
        MachinePool pool = readPool(fields);
        return new RentalRequest(idempotencyKey, pool, (int) fields.wholeNumber("count"));
    }

    private static MachinePool readPool(Fields fields) {
        return new MachinePool(fields.text("boxkind"), fields.text("hall"), fields.flag("loaners", false));
    }

    /** Encodes machine ids: the rented machines in a rental response, or the machines in a return request. */
    public static Map<String, Object> writeMachineIds(List<MachineId> machines) {
        return MessagePackFormat.map(
                "boxes", machines.stream().map(MachineId::text).toList());
    }

    /** Decodes machine ids. */
    public static List<MachineId> readMachineIds(Fields fields) {
        List<String> names = fields.optionalTexts("boxes");
        return names == null ? List.of() : names.stream().map(MachineId::new).toList();
    }

    /** Encodes a page of the machine list. */
    public static Map<String, Object> writePage(Page page) {
        List<Map<String, Object>> machines =
                page.machines().stream().map(CloudCodec::writeListEntry).toList();
        return MessagePackFormat.map("boxes", machines, "truncated", page.hasMore());
    }

    private static Map<String, Object> writeListEntry(ListEntry entry) {
        ListedMachine machine = entry.machine();
        return MessagePackFormat.map(
                "id", machine.id().text(),
                "endpoint", entry.address(),
                "boxkind", machine.pool().type(),
                "hall", machine.pool().zone(),
                "loaners", machine.pool().spot(),
                "status", statusText(machine.status()),
                "held_s", machine.timeSinceRequest().seconds());
    }

    static Page readPage(Fields fields) {
        List<ListEntry> machines =
                fields.children("boxes").stream().map(CloudCodec::readListEntry).toList();
        return new Page(machines, fields.flag("truncated", false));
    }

    private static ListEntry readListEntry(Fields fields) {
        ListedMachine machine = new ListedMachine(
                new MachineId(fields.text("id")),
                readPool(fields),
                parseStatus(fields.text("status")),
                Span.seconds(fields.number("held_s", 0)));
        return new ListEntry(machine, fields.optionalText("endpoint"));
    }

    private static String statusText(ListedMachine.Status status) {
        return switch (status) {
            case STARTING -> "starting";
            case FAILED -> "failed";
            case RUNNING -> "running";
        };
    }

    private static ListedMachine.Status parseStatus(String text) {
        return switch (text) {
            case "starting" -> ListedMachine.Status.STARTING;
            case "failed" -> ListedMachine.Status.FAILED;
            default -> ListedMachine.Status.RUNNING;
        };
    }
}
