package io.indigoreach.emulator.model;

import io.indigoreach.cloud.CloudCodec;
import io.indigoreach.core.model.ListedMachine;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.scenario.Deployment;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** The cloud of the protocol without input or output: requests and the time go in, replies and what happens come out. */
public final class CloudModel {
    private static final Span LEAST_PAID = Span.seconds(60);
    private static final Span PRICE_MOVES = Span.seconds(10);
    private static final Span STILL_LISTED = Span.seconds(30);
    private static final double BURST_S = 2;
    private static final double HOUR_S = 3600;

    /** Something that happens to a machine. */
    public sealed interface Event {
        Machine machine();

        /** It is up: its worker starts. */
        record Up(Machine machine) implements Event {}

        /** It is taken away at a time. */
        record Notice(Machine machine, Moment until) implements Event {}

        /** It is gone with all that was on it. */
        record Gone(Machine machine, String why) implements Event {}
    }

    /** A rented machine. */
    public static final class Machine {
        private final MachineId id;
        private final MachineType type;
        private final MachinePool pool;
        private final Moment rented;
        private final double meterAtStart;
        private final double speed;
        private Moment up;
        private Moment notice;
        private Moment taken;
        private Moment failed;
        private Moment gone;
        private boolean isUp;
        private boolean warned;
        private boolean listed;
        private double cost;
        private String address;

        private Machine(MachineId id, MachineType type, MachinePool pool, Moment rented, double meter, double speed) {
            this.id = id;
            this.type = type;
            this.pool = pool;
            this.rented = rented;
            this.meterAtStart = meter;
            this.speed = speed;
        }

        public MachineId id() {
            return id;
        }

        public MachineType type() {
            return type;
        }

        public MachinePool pool() {
            return pool;
        }

        /** How fast its tasks run, 1 being usual. */
        public double speed() {
            return speed;
        }

        /** Where its worker listens, once it is up. */
        public void address(String at) {
            address = at;
        }

        /** Empty while it is not known. */
        public String address() {
            return address == null ? "" : address;
        }

        public boolean isUp() {
            return isUp && gone == null && failed == null;
        }

        private Moment chargedUntil(Moment now) {
            return failed != null ? failed : gone != null ? gone : now;
        }
    }

    private final Deployment deployment;
    private final List<MachineType> types;
    private final RandomGenerator random;
    private final RateLimiter requests;
    private final TreeMap<MachineId, Machine> machines = new TreeMap<>();
    private final Map<String, List<MachineId>> answered = new HashMap<>();
    private final Map<String, Double> price = new HashMap<>();
    private final Map<String, Double> meter = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private Moment metered;
    private Moment priceMoves;
    private long names;
    private boolean noBoot;

    /** Machine names go on after {@code names}, as none is ever given twice. */
    public CloudModel(Deployment deployment, RandomGenerator random, Moment priceMoves, long names) {
        this.names = names;
        this.deployment = deployment;
        this.types = deployment.types();
        this.random = random;
        this.requests = new RateLimiter(deployment.cloud().rps(), BURST_S, priceMoves);
        this.metered = priceMoves;
        this.priceMoves = priceMoves;
        types.forEach(type -> price.put(type.name(), type.spotPrice()));
    }

    /** Machines asked for while this holds never come up. */
    public void noBoot(boolean holds) {
        noBoot = holds;
    }

    public ServiceResponse types(Moment now) {
        advance(now);
        if (!requests.tryAcquire(1, now)) {
            return tooMany();
        }
        return ok(CloudCodec.writeTypes(types.stream()
                .map(type -> new MachineType(
                        type.name(),
                        type.capacity(),
                        type.cacheGb(),
                        type.fetchGbPerS(),
                        type.price(),
                        price.get(type.name()),
                        type.boot(),
                        type.zones()))
                .toList()));
    }

    public ServiceResponse rent(Moment now, CloudCodec.RentalRequest r) {
        advance(now);
        if (!requests.tryAcquire(1, now)) {
            return tooMany();
        }
        MachineType type = types.stream()
                .filter(t -> t.name().equals(r.pool().type()))
                .findFirst()
                .orElse(null);
        if (type == null
                || !deployment.zones().contains(r.pool().zone())
                || r.count() < 1
                || r.count() > CloudCodec.MAX_MACHINES_PER_RENTAL
                || r.idempotencyKey().isEmpty()) {
            return new ServiceResponse(
                    400, new Fields(MessagePackFormat.map("error", "no such type or zone, or not 1 to 50 machines")));
        }
        List<MachineId> known = answered.get(r.idempotencyKey());
        if (known != null) {
            return ok(CloudCodec.writeMachineIds(known));
        }
        long used = machines.values().stream()
                .filter(machine -> machine.gone == null && machine.pool.equals(r.pool()))
                .count();
        long there = deployment.capacity().stream()
                .filter(c -> c.type().equals(r.pool().type())
                        && c.zone().equals(r.pool().zone()))
                .mapToLong(c -> r.pool().spot() ? c.spot() : c.count())
                .sum();
        int n = (int) Math.min(r.count(), there - used);
        if (n <= 0) {
            return new ServiceResponse(503, new Fields(MessagePackFormat.map("error", CloudCodec.NO_CAPACITY_ERROR)));
        }
        List<MachineId> names = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            names.add(create(now, type, r.pool()).id);
        }
        answered.put(r.idempotencyKey(), names);
        return ok(CloudCodec.writeMachineIds(names));
    }

    private Machine create(Moment now, MachineType type, MachinePool pool) {
        MachineId id = new MachineId(String.format("vm-%06d", ++names));
        Machine machine = new Machine(id, type, pool, now, meter(pool), 0.95 + 0.1 * random.nextDouble());
        double boots = random.nextDouble();
        boolean never = noBoot || random.nextDouble() < deployment.cloud().bootNever();
        double factor =
                boots < deployment.cloud().bootLate() ? 3 + 3 * random.nextDouble() : 0.6 + 0.9 * random.nextDouble();
        machine.up = never ? null : now.plus(type.boot().times(factor));
        double perHour = deployment.spot().perHour();
        if (pool.spot() && perHour > 0) {
            plan(
                    machine,
                    now.plus(Span.seconds(random.nextExponential() * HOUR_S / perHour)),
                    random.nextDouble() < deployment.spot().silent()
                            ? 0
                            : deployment.spot().noticeS());
        }
        machines.put(id, machine);
        return machine;
    }

    private void plan(Machine machine, Moment taken, double noticeS) {
        machine.taken = taken;
        machine.notice = noticeS <= 0 ? null : taken.minus(Span.seconds(noticeS * (0.5 + random.nextDouble())));
    }

    public ServiceResponse giveBack(Moment now, List<MachineId> given) {
        advance(now);
        if (!requests.tryAcquire(1, now)) {
            return tooMany();
        }
        if (given.size() > CloudCodec.MAX_MACHINES_PER_RETURN) {
            return new ServiceResponse(400, new Fields(MessagePackFormat.map("error", "100 machines at most")));
        }
        for (MachineId id : given) {
            Machine machine = machines.get(id);
            if (machine != null && machine.gone == null) {
                end(machine, now, "returned");
            }
        }
        return ok(Map.of());
    }

    /** The list as it was a while ago, and now and then as it was before the list given last. */
    public ServiceResponse list(Moment now, MachineId after, int most) {
        advance(now);
        if (!requests.tryAcquire(1, now)) {
            return tooMany();
        }
        double lag = deployment.cloud().listLagS();
        Moment then = now.minus(Span.seconds(
                lag * (random.nextInt(6) == 0 ? 1 + random.nextDouble() : 0.3 + 0.7 * random.nextDouble())));
        List<CloudCodec.ListEntry> page = new ArrayList<>();
        boolean more = false;
        for (Machine machine : (after == null ? machines : machines.tailMap(after, false)).values()) {
            boolean there = (machine.listed || !machine.rented.isAfter(then))
                    && (machine.gone == null || machine.gone.isAfter(then));
            if (!there) {
                continue;
            }
            if (page.size() >= Math.min(Math.max(1, most), CloudCodec.MAX_MACHINES_PER_PAGE)) {
                more = true;
                break;
            }
            machine.listed = true;
            boolean booted = machine.isUp && !machine.up.isAfter(then);
            boolean stopped =
                    machine.failed != null && !machine.failed.plus(STILL_LISTED).isAfter(then);
            page.add(new CloudCodec.ListEntry(
                    new ListedMachine(
                            machine.id,
                            machine.pool,
                            stopped
                                    ? ListedMachine.Status.FAILED
                                    : booted ? ListedMachine.Status.RUNNING : ListedMachine.Status.STARTING,
                            then.isBefore(machine.rented) ? Span.ZERO : then.since(machine.rented)),
                    machine.address()));
        }
        return ok(CloudCodec.writePage(new CloudCodec.Page(page, more)));
    }

    /** Spot machines are taken back: each with this chance, after {@code noticeS} or without notice. */
    public void take(Moment now, double share, double noticeS) {
        machines.values().stream()
                .filter(machine -> machine.isUp() && machine.pool.spot() && random.nextDouble() < share)
                .forEach(machine -> {
                    plan(machine, now.plus(Span.seconds(noticeS)), noticeS);
                    machine.notice = noticeS > 0 ? now : null;
                });
        advance(now);
    }

    /** Machines stop by themselves: each with this chance. */
    public void die(Moment now, double share) {
        for (Machine machine : machines.values()) {
            if (machine.isUp() && random.nextDouble() < share) {
                machine.failed = now;
                machine.cost = cost(machine, now);
                events.add(new Event.Gone(machine, "failed"));
            }
        }
    }

    /** Lets happen what is due. */
    public void advance(Moment now) {
        for (; !now.isBefore(priceMoves.plus(PRICE_MOVES)); priceMoves = priceMoves.plus(PRICE_MOVES)) {
            meterTo(priceMoves.plus(PRICE_MOVES));
            for (MachineType type : types) {
                double moved = price.get(type.name()) * (0.93 + 0.14 * random.nextDouble());
                price.put(type.name(), Math.max(type.spotPrice() * 2 / 3, Math.min(type.spotPrice() * 4 / 3, moved)));
            }
        }
        meterTo(now);
        for (Machine machine : machines.values()) {
            if (machine.gone != null) {
                continue;
            }
            if (!machine.isUp && machine.failed == null && machine.up != null && !now.isBefore(machine.up)) {
                machine.isUp = true;
                events.add(new Event.Up(machine));
            }
            if (machine.isUp && !machine.warned && machine.notice != null && !now.isBefore(machine.notice)) {
                machine.warned = true;
                events.add(new Event.Notice(machine, machine.taken));
            }
            if (machine.taken != null && !now.isBefore(machine.taken)) {
                end(machine, now, "taken");
            }
        }
    }

    /** What happened since this was asked last. */
    public List<Event> drain() {
        List<Event> out = List.copyOf(events);
        events.clear();
        return out;
    }

    private void end(Machine machine, Moment now, String why) {
        if (machine.failed == null) {
            double least = why.equals("returned")
                    ? Math.max(0, LEAST_PAID.minus(now.since(machine.rented)).seconds())
                    : 0;
            machine.cost = cost(machine, now)
                    + least / HOUR_S * (machine.pool.spot() ? price.get(machine.type.name()) : machine.type.price());
            events.add(new Event.Gone(machine, why));
        }
        machine.gone = now;
    }

    /** The money spent so far, on all machines. */
    public double spent(Moment now) {
        advance(now);
        return machines.values().stream()
                .mapToDouble(
                        machine -> machine.gone != null || machine.failed != null ? machine.cost : cost(machine, now))
                .sum();
    }

    /** How many machines there are: booting, up, failed. */
    public int[] counts() {
        int[] n = new int[3];
        for (Machine machine : machines.values()) {
            if (machine.gone == null) {
                n[machine.failed != null ? 2 : machine.isUp ? 1 : 0]++;
            }
        }
        return n;
    }

    /** All machines that ever were, by name. */
    public List<Machine> machines() {
        return List.copyOf(machines.values());
    }

    private double cost(Machine machine, Moment now) {
        return machine.pool.spot()
                ? meter(machine.pool) - machine.meterAtStart
                : machine.type.price()
                        * machine.chargedUntil(now).since(machine.rented).seconds()
                        / HOUR_S;
    }

    /** What one spot machine of the type would have cost so far; each price counts while it holds. */
    private double meter(MachinePool pool) {
        return meter.getOrDefault(pool.type(), 0.0);
    }

    private void meterTo(Moment now) {
        double s = now.since(metered).seconds();
        if (s > 0) {
            types.forEach(type -> meter.merge(type.name(), price.get(type.name()) * s / HOUR_S, Double::sum));
            metered = now;
        }
    }

    private static ServiceResponse ok(Map<String, Object> body) {
        return new ServiceResponse(200, new Fields(body));
    }

    private static ServiceResponse tooMany() {
        return new ServiceResponse(429, new Fields(MessagePackFormat.map("error", "too many requests")));
    }
}
