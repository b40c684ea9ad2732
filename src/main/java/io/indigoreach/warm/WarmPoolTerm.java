package io.indigoreach.warm;

import io.indigoreach.core.accounts.Account;
import io.indigoreach.core.accounts.Meter;
import io.indigoreach.core.accounts.Sheet;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.records.VersionedRecord;
import io.indigoreach.core.scheduling.Machine;
import io.indigoreach.core.scheduling.PoolMembership;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.core.warm.DemandHistory;
import io.indigoreach.core.warm.PoolPlanner;
import io.indigoreach.core.warm.PoolSpec;
import io.indigoreach.core.warm.PoolStatus;
import io.indigoreach.net.Fields;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.parts.Part;
import io.indigoreach.parts.Parts;
import io.indigoreach.state.RoutineRunner;
import io.vertx.core.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The pools' work for one leadership: reads what earlier leaders recorded, looks at the machines, writes lines and sums. */
final class WarmPoolTerm implements Part.LeaderTask {
    private static final Logger LOG = LoggerFactory.getLogger(WarmPoolTerm.class);
    private static final Span PERIOD = Span.seconds(1);
    private static final Span POOLS_EVERY = Span.seconds(5);
    private static final Span TOLD_EVERY = Span.seconds(2);
    private static final Span PRICES_EVERY = Span.seconds(20);
    /** Money is moved into the sums this often; what a machine is kept for is written as it changes. */
    private static final Span MONEY_EVERY = Span.seconds(10);

    private final Parts.Environment ground;
    private final SchedulerCore core;
    private final RoutineRunner records;
    private final PoolPlanner plan;
    private final Meter meter;
    private final PeriodicTask duty;
    private final Map<String, MachineType> prices = new HashMap<>();
    private final Map<String, PoolStatus> told = new HashMap<>();
    private final Map<String, Long> learned = new HashMap<>();
    private final Deque<Integer> pages = new ArrayDeque<>();
    private List<PoolSpec> pools = List.of();
    private boolean loaded;
    /** From when on hits and misses are counted. */
    private long sinceMs;

    private Moment poolsRead = Moment.NEVER;
    private Moment toldAt = Moment.NEVER;
    private Moment pricesAsked = Moment.NEVER;
    private Moment moneyAt;

    WarmPoolTerm(Parts.Environment ground, SchedulerCore core, RoutineRunner records) {
        this.ground = ground;
        this.core = core;
        this.records = records;
        this.moneyAt = ground.clock().now();
        this.plan = new PoolPlanner(
                ground.config().teams(),
                ground.catalogue()::types,
                ground.settings().schedulerSettings().term(),
                this::timeOfDay,
                LOG::info);
        this.meter = new Meter(
                ground.settings().schedulerSettings().minimumPaidTime().ms());
        this.duty = new PeriodicTask(ground.vertx(), "pools", PERIOD, this::step);
        core.useWarmCapacity(plan);
    }

    WarmPoolTerm start() {
        duty.start();
        return this;
    }

    @Override
    public void close() {
        duty.cancel();
    }

    private long timeOfDay(Moment at) {
        return ground.clock().timeOfDay() - ground.clock().now().since(at).ms();
    }

    private Future<Span> step() {
        if (!loaded) {
            return load().map(PERIOD);
        }
        Moment now = ground.clock().now();
        if (pools.isEmpty() && meter.lines().isEmpty()) {
            return readPools(now).map(POOLS_EVERY);
        }
        ask(now);
        look(now);
        return readPools(now)
                .compose(v -> writePages(now))
                .compose(v -> tell(now))
                .map(PERIOD);
    }

    private Future<Void> load() {
        Moment now = ground.clock().now();
        return records.run(PoolRoutines.sheets())
                .compose(sheets -> readPools(now).map(v -> {
                    ground.catalogue().types().forEach(type -> prices.put(type.name(), type));
                    for (VersionedRecord k : sheets) {
                        meter.recall(PoolRecords.sheetOf(k.key()), PoolCodec.readSheet(k.value()), this::perHour);
                    }
                    plan.recall(meter.lines(), ground.clock().now());
                    loaded = true;
                    sinceMs = ground.clock().timeOfDay();
                    LOG.info(
                            "warm pools loaded pools={} metered={}",
                            pools.size(),
                            meter.lines().size());
                    return null;
                }));
    }

    private Future<Void> readPools(Moment now) {
        if (now.since(poolsRead).compareTo(POOLS_EVERY) < 0) {
            return Future.succeededFuture();
        }
        return records.run(PoolRoutines.all(PoolRecords.POOLS)).compose(all -> {
            List<PoolSpec> read = all.stream()
                    .map(k -> PoolCodec.read(k.key().substring(PoolRecords.POOLS.length()), new Fields(k.value())))
                    .toList();
            boolean isNew = read.size() > pools.size();
            Future<List<VersionedRecord>> earlier =
                    isNew ? records.run(PoolRoutines.all(PoolRecords.SEEN)) : Future.succeededFuture(List.of());
            return earlier.map(seen -> {
                Map<String, DemandHistory> known = new HashMap<>();
                seen.forEach(
                        k -> known.put(k.key().substring(PoolRecords.SEEN.length()), PoolCodec.readSeen(k.value())));
                pools = read;
                plan.pools(read, name -> known.getOrDefault(name, new DemandHistory()));
                poolsRead = now;
                return null;
            });
        });
    }

    /** Spot machines cost what they do now, whenever they were rented. */
    private void ask(Moment now) {
        if (now.since(pricesAsked).compareTo(PRICES_EVERY) >= 0) {
            pricesAsked = now;
            ground.catalogue()
                    .readCurrentTypes()
                    .onSuccess(types -> types.forEach(type -> prices.put(type.name(), type)));
        }
    }

    private double perHour(MachinePool pool) {
        MachineType type = prices.get(pool.type());
        return type == null ? 0 : pool.spot() ? type.spotPrice() : type.price();
    }

    private void look(Moment now) {
        List<Meter.Look> looks = new ArrayList<>();
        Map<String, String> teams = new HashMap<>();
        pools.forEach(p -> teams.put(p.name(), p.team()));
        for (Machine machine : core.machines()) {
            PoolMembership seat =
                    machine.poolMembership() == null || machine.poolMembership().isEnded()
                            ? null
                            : machine.poolMembership();
            Account payer =
                    seat == null ? new Account("", "") : new Account(seat.pool(), teams.getOrDefault(seat.pool(), ""));
            looks.add(new Meter.Look(
                    machine.id(),
                    machine.pool(),
                    timeOfDay(machine.rentedAt()),
                    payer,
                    seat == null ? "" : seat.image(),
                    seat == null ? 0 : seat.imageGb(),
                    seat != null && machine.imageCache().isCached(seat.image()) ? machine.incarnation() : 0,
                    machine.coresByTeam(),
                    machine.type().capacity().cores(),
                    perHour(machine.pool()),
                    machine.phase() == Machine.Phase.RETURNING));
        }
        meter.look(looks, timeOfDay(now));
        Map<String, Double> spent = new HashMap<>();
        meter.sums().forEach((account, money) -> {
            // What guests use is theirs.
            if (account.team().equals(teams.get(account.pool()))) {
                spent.merge(account.pool(), money, Double::sum);
            }
        });
        spent.forEach(plan::spent);
    }

    /** One page a step: what changed first, then those whose money is due. */
    private Future<Void> writePages(Moment now) {
        boolean due = now.since(moneyAt).compareTo(MONEY_EVERY) >= 0;
        if (due) {
            moneyAt = now;
        }
        for (int page : meter.behind(due)) {
            if (!pages.contains(page)) {
                pages.add(page);
            }
        }
        if (pages.isEmpty()) {
            release();
            return Future.succeededFuture();
        }
        int page = pages.poll();
        Sheet[] next = new Sheet[1];
        return records.run(PoolRoutines.replace(
                        PoolRecords.sheet(page),
                        read -> {
                            next[0] = meter.next(page, PoolCodec.readSheet(read.value()));
                            return PoolCodec.write(next[0]);
                        },
                        written -> {
                            meter.written(page, next[0]);
                            release();
                        }))
                .mapEmpty();
    }

    /** Machines that left a pool take any image once no record names them. */
    private void release() {
        for (Machine machine : core.machines()) {
            if (machine.poolMembership() != null
                    && machine.poolMembership().isEnded()
                    && !meter.isRecordedInPool(machine.id())) {
                plan.released(machine);
            }
        }
    }

    private Map<String, Object> told(PoolStatus t) {
        Map<String, Object> value = PoolCodec.write(t);
        value.put("since", sinceMs);
        return value;
    }

    private Future<Void> tell(Moment now) {
        if (now.since(toldAt).compareTo(TOLD_EVERY) < 0) {
            return Future.succeededFuture();
        }
        for (PoolStatus t : plan.told()) {
            if (!t.equals(told.get(t.pool()))) {
                toldAt = now;
                return records.run(PoolRoutines.replace(
                                PoolRecords.TOLD + t.pool(), read -> told(t), written -> told.put(t.pool(), t)))
                        .mapEmpty();
            }
        }
        for (PoolSpec p : pools) {
            DemandHistory seen = plan.seen(p.name());
            if (p.learned() && seen.changes() > learned.getOrDefault(p.name(), 0L)) {
                long changes = seen.changes();
                return records.run(PoolRoutines.replace(
                                PoolRecords.SEEN + p.name(),
                                read -> PoolCodec.write(seen),
                                written -> learned.put(p.name(), changes)))
                        .mapEmpty();
            }
        }
        return Future.succeededFuture();
    }
}
