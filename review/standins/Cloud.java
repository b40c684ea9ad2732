package standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of the protocol page, and the machines that it rents. */
final class Cloud {
    /** A machine type and how many of it there are in each zone, spot and ordinary. */
    record Type(String label, double cores, double ramGb, double price, double lowPrice, double bootS, int perZone) {}

    private static final class Rented {
        final String id;
        final Type type;
        final String zone;
        final boolean spot;
        final double requestedAt;
        double goneAt = Double.MAX_VALUE;
        double upAt = Double.MAX_VALUE;
        Worker worker;

        Rented(String id, Type type, String zone, boolean spot, double requestedAt) {
            this.id = id;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.requestedAt = requestedAt;
        }
    }

    private final Record record;
    private final List<Type> types;
    private final List<String> zones;
    private final double lagS;
    private final StateService.Rate rate;
    private final Worker.Context workers;
    private final TreeMap<String, Rented> machines = new TreeMap<>();
    private final Map<String, List<Object>> answers = new LinkedHashMap<>();
    private final Map<String, Integer> refused = new LinkedHashMap<>();

    Cloud(Record record, List<Type> types, List<String> zones, double rps, double lagS, Worker.Context workers) {
        this.record = record;
        this.types = types;
        this.zones = zones;
        this.lagS = lagS;
        this.rate = new StateService.Rate(rps, 2);
        this.workers = workers;
    }

    int open() throws IOException {
        return Http.serve("cloud", this::serve);
    }

    /** The workers of all machines that are up. */
    synchronized List<Worker> workers() {
        return machines.values().stream()
                .filter(machine -> machine.worker != null && machine.goneAt == Double.MAX_VALUE)
                .map(machine -> machine.worker)
                .toList();
    }

    /** How many rental requests for a type were refused because there was none. */
    synchronized int refused(String label) {
        return refused.getOrDefault(label, 0);
    }

    /** How many rental requests were granted. */
    synchronized int granted() {
        return answers.size();
    }

    private Http.Response serve(Http.Request request) {
        StateService.pause(20);
        if (!rate.take(1)) {
            return new Http.Response(429, Msg.map("error", "too many requests"));
        }
        return switch (request.path()) {
            case "/catalog" -> catalogue();
            case "/machines" -> request.method().equals("POST") ? rent(request.map()) : list(request);
            case "/machines/return" -> giveBack(request.map());
            default -> new Http.Response(404, Msg.map());
        };
    }

    private Http.Response catalogue() {
        List<Object> list = new ArrayList<>();
        for (Type type : types) {
            list.add(Msg.map(
                    "label", type.label(),
                    "cores", type.cores(),
                    "gpus", 0.0,
                    "ram_gb", type.ramGb(),
                    "cache_gb", 40.0,
                    "fetch_gb_per_s", 1.0,
                    "price", type.price(),
                    "low_price", type.lowPrice(),
                    "boot_s", type.bootS(),
                    "halls", new ArrayList<Object>(zones)));
        }
        return new Http.Response(200, Msg.map("boxkinds", list));
    }

    private synchronized Http.Response rent(Map<String, Object> body) {
        String hire = Msg.text(body, "hire");
        if (answers.containsKey(hire)) {
            return new Http.Response(200, Msg.map("boxes", answers.get(hire)));
        }
        Type type = types.stream()
                .filter(known -> known.label().equals(body.get("boxkind")))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no such type"));
        String zone = Msg.text(body, "hall");
        boolean spot = Boolean.TRUE.equals(body.get("loaners"));
        long used = machines.values().stream()
                .filter(m -> m.goneAt == Double.MAX_VALUE && m.type == type && m.zone.equals(zone) && m.spot == spot)
                .count();
        long count = Math.min(Msg.whole(body, "count"), type.perZone() - used);
        if (count <= 0) {
            refused.merge(type.label(), 1, Integer::sum);
            record.add("refused", hire + " no capacity for " + body);
            return new Http.Response(503, Msg.map("error", "no capacity"));
        }
        List<Object> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Rented machine = new Rented(
                    String.format("vm-%06d", machines.size() + 1), type, zone, spot, record.seconds());
            machines.put(machine.id, machine);
            names.add(machine.id);
            Http.daemon(machine.id, () -> boot(machine));
        }
        answers.put(hire, names);
        record.add("rented", hire + " " + names);
        return new Http.Response(200, Msg.map("boxes", names));
    }

    private void boot(Rented machine) {
        StateService.pause((long) (machine.type.bootS() * 1000));
        synchronized (this) {
            if (machine.goneAt != Double.MAX_VALUE) {
                return;
            }
            machine.upAt = record.seconds();
            machine.worker = new Worker(
                    workers,
                    machine.id,
                    machine.type.label(),
                    machine.zone,
                    machine.spot,
                    machine.type.cores(),
                    machine.type.ramGb());
        }
        record.add("up", machine.id);
        machine.worker.run();
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Response giveBack(Map<String, Object> body) {
        for (Object name : (List<Object>) body.get("boxes")) {
            Rented machine = machines.get((String) name);
            if (machine != null && machine.goneAt == Double.MAX_VALUE) {
                machine.goneAt = record.seconds();
                record.add("returned", machine.id);
                if (machine.worker != null) {
                    machine.worker.end();
                }
            }
        }
        return new Http.Response(200, Msg.map());
    }

    private synchronized Http.Response list(Http.Request request) {
        double moment = record.seconds() - lagS;
        String since = request.query().getOrDefault("since", "");
        long most = Math.min(500, request.number("most", 500));
        List<Object> boxes = new ArrayList<>();
        boolean truncated = false;
        for (Rented machine : machines.tailMap(since, false).values()) {
            if (machine.requestedAt > moment || machine.goneAt <= moment) {
                continue;
            }
            if (boxes.size() >= most) {
                truncated = true;
                break;
            }
            boxes.add(Msg.map(
                    "id", machine.id,
                    "endpoint", machine.worker == null ? Http.HOST + ":1" : machine.worker.endpoint(),
                    "boxkind", machine.type.label(),
                    "hall", machine.zone,
                    "loaners", machine.spot,
                    "status", machine.upAt <= moment ? "running" : "starting",
                    "held_s", moment - machine.requestedAt));
        }
        return new Http.Response(200, Msg.map("boxes", boxes, "truncated", truncated));
    }
}
