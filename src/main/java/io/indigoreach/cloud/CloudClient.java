package io.indigoreach.cloud;

import io.indigoreach.core.Demand;
import io.indigoreach.core.ListedMachine;
import io.indigoreach.core.MachineId;
import io.indigoreach.core.MachineType;
import io.indigoreach.core.Pool;
import io.indigoreach.core.Span;
import io.indigoreach.net.Caller;
import io.indigoreach.net.Fields;
import io.indigoreach.net.Reply;
import io.indigoreach.net.Wire;
import io.indigoreach.net.WireException;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;

/** The cloud's protocol. A failed future means no usable answer. */
public final class CloudClient {
    /** The answer to a rental request: the machines, or none because the pool has no capacity. */
    public record Rental(List<MachineId> machines, boolean noCapacity) {
    }

    private static final Span TIMEOUT = Span.seconds(4);
    private static final int PAGE = 500;
    private static final int MOST_RETURNED = 100;

    private final Caller caller;

    public CloudClient(Caller caller) {
        this.caller = caller;
    }

    public static int mostReturned() {
        return MOST_RETURNED;
    }

    public Future<List<MachineType>> catalogue() {
        return caller.get("/catalog", TIMEOUT).map(r -> {
            List<MachineType> types = new ArrayList<>();
            for (Fields t : ok(r).children("boxkinds")) {
                List<String> zones = t.optionalTexts("halls");
                types.add(new MachineType(t.text("label"),
                        new Demand(t.number("cores"), t.number("gpus", 0), t.number("ram_gb")), t.number("cache_gb", 0),
                        t.number("fetch_gb_per_s", 0), t.number("price"), t.number("low_price", 0),
                        Span.seconds(t.number("boot_s", 60)), zones == null ? List.of() : zones));
            }
            return types;
        });
    }

    /** Rents up to {@code count} machines; a name that was answered once gets the same answer again. */
    public Future<Rental> rent(String name, Pool pool, int count) {
        return caller.post("/machines", Wire.map("hire", name, "boxkind", pool.type(), "hall", pool.zone(),
                "loaners", pool.spot(), "count", count), TIMEOUT).map(r -> {
                    if (r.status() == 503 && "no capacity".equals(r.body().optionalText("error"))) {
                        return new Rental(List.of(), true);
                    }
                    List<String> names = ok(r).optionalTexts("boxes");
                    return new Rental(names == null ? List.of() : names.stream().map(MachineId::new).toList(), false);
                });
    }

    /** When this succeeds, the machines and all that was on them are gone. */
    public Future<Void> giveBack(List<MachineId> machines) {
        return caller.post("/machines/return", Wire.map("boxes", machines.stream().map(MachineId::text).toList()),
                TIMEOUT).map(r -> {
                    if (r.status() != 200) {
                        throw new WireException("the cloud answers " + r.status());
                    }
                    return null;
                });
    }

    /** The whole list, page by page. */
    public Future<List<ListedMachine>> list() {
        return page(null, new ArrayList<>());
    }

    private Future<List<ListedMachine>> page(String after, List<ListedMachine> got) {
        return caller.get("/machines?most=" + PAGE + (after == null ? "" : "&since=" + after), TIMEOUT).compose(r -> {
            Fields body = ok(r);
            String last = null;
            for (Fields f : body.children("boxes")) {
                last = f.text("id");
                got.add(new ListedMachine(new MachineId(last),
                        new Pool(f.text("boxkind"), f.text("hall"), f.flag("loaners", false)), status(f.text("status")),
                        Span.seconds(f.number("held_s", 0))));
            }
            return last != null && body.flag("truncated", false) ? page(last, got) : Future.succeededFuture(got);
        });
    }

    private static ListedMachine.Status status(String word) {
        return switch (word) {
            case "starting" -> ListedMachine.Status.STARTING;
            case "failed" -> ListedMachine.Status.FAILED;
            default -> ListedMachine.Status.RUNNING;
        };
    }

    private static Fields ok(Reply reply) {
        if (reply.status() == 200) {
            return reply.body();
        }
        throw new WireException("the cloud answers " + reply.status());
    }
}
