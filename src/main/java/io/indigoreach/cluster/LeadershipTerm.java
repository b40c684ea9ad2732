package io.indigoreach.cluster;

import io.indigoreach.cloud.Catalogue;
import io.indigoreach.cloud.CloudClient;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.leadership.CancellationSummary;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.WorkerCommand;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.Machine;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.core.scheduling.SchedulerListener;
import io.indigoreach.core.scheduling.ServiceLevelObjectives;
import io.indigoreach.net.EventLoopMonitor;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.parts.Parts;
import io.indigoreach.state.JobRepairer;
import io.indigoreach.state.LeaderElection;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One leadership of this node, from taking the key to losing it: the core and the duties that serve it. */
final class LeadershipTerm implements SchedulerListener {
    private static final Logger LOG = LoggerFactory.getLogger(LeadershipTerm.class);
    private static final Span TICK = Span.seconds(0.5);
    /** The part of the service's changes that the leader takes; the rest is for submissions and cancellations. */
    private static final double WRITES = 0.6;
    /** What a question to the other nodes and their answers may take and still be of use. */
    private static final Span QUESTION = Span.seconds(3);

    private static final Span SUMMARY = Span.seconds(10);
    /** Before records that could not be read are read once more. */
    private static final Span UNREADABLE = Span.seconds(5);

    /** What a reign works with. */
    record Context(
            Vertx vertx,
            SteadyClock clock,
            EventLoopMonitor pulse,
            StateClient state,
            CloudClient cloud,
            Catalogue catalogue,
            PlatformConfig config,
            Settings settings,
            Span lease,
            Parts parts,
            JobRepairer mender) {
        Context(
                Vertx vertx,
                SteadyClock clock,
                EventLoopMonitor pulse,
                StateClient state,
                CloudClient cloud,
                Catalogue catalogue,
                PlatformConfig config,
                Settings settings,
                Span lease) {
            this(vertx, clock, pulse, state, cloud, catalogue, config, settings, lease, Parts.NONE);
        }

        Context(
                Vertx vertx,
                SteadyClock clock,
                EventLoopMonitor pulse,
                StateClient state,
                CloudClient cloud,
                Catalogue catalogue,
                PlatformConfig config,
                Settings settings,
                Span lease,
                Parts parts) {
            this(
                    vertx,
                    clock,
                    pulse,
                    state,
                    cloud,
                    catalogue,
                    config,
                    settings,
                    lease,
                    parts,
                    new JobRepairer(state, clock));
        }

        /** By which values, transactions and budgets are sized. */
        PlatformConfig.StateLimits limits() {
            return state.limits().under(config.stateLimits());
        }
    }

    private final Context env;
    private final FencingToken token;
    private final LeaderElection leadership;
    private final SchedulerCore core;
    private final MachineStore book;
    private final JobStore ledger;
    private final DependencyTask chains;
    private final FleetManager fleet;
    private final JobWatch watch;
    private final FinalRecordWatch ends;
    private final PartsTask parts;
    private final PeriodicTask opening;
    private final PeriodicTask tick;
    private final Supplier<Future<RememberedState>> memory;
    private final RateLimiter budget;
    private final Revision key;
    private Moment summarised = Moment.NEVER;
    private final CancellationHorizon horizon = new CancellationHorizon();
    private boolean boundsKept;
    /** Since when reports are taken; what machines were silent before that is this node's doing, however long the reading took. */
    private Moment serves = Moment.NEVER;

    /**
     * @param boundsKept the start bounds that earlier leaders recorded can be believed
     * @param memory what controllers remember, asked for where the state service has lost data
     */
    LeadershipTerm(
            Context env,
            FencingToken token,
            Revision key,
            LeaderElection leadership,
            boolean boundsKept,
            Supplier<Future<RememberedState>> memory) {
        this.memory = memory;
        this.key = key;
        this.env = env;
        this.token = token;
        this.leadership = leadership;
        this.core = new SchedulerCore(
                token,
                env.config().rules(),
                env.settings().tuning(),
                aims(env.config()),
                env.config().teams(),
                this);
        this.budget = new RateLimiter(
                env.config().stateLimits().writesPerS() * WRITES, env.clock().now());
        this.book = new MachineStore(env, core, token, key, leadership::deposed, budget);
        this.ledger = new JobStore(env, core, book, key, leadership::deposed, budget, boundsKept, horizon);
        this.chains = new DependencyTask(env, core, ledger, key, leadership::deposed, budget);
        this.boundsKept = boundsKept;
        this.fleet = new FleetManager(
                env, core, token, new IntentLog(env, token, key, leadership::deposed, budget), leadership::isValid);
        this.watch = new JobWatch(env, ledger, horizon);
        this.ends = new FinalRecordWatch(env);
        this.parts = new PartsTask(env, core, key, budget);
        this.opening = new PeriodicTask(env.vertx(), "opening", Span.seconds(0.3), this::open);
        this.tick = new PeriodicTask(env.vertx(), "tick", TICK, this::tick);
    }

    private static ServiceLevelObjectives aims(PlatformConfig config) {
        return new ServiceLevelObjectives(config.objectives().stream()
                .filter(o -> o.within().ms() > 0)
                .map(o -> new ServiceLevelObjectives.Objective(o.jobClass(), "wait".equals(o.kind()), o.within()))
                .toList());
    }

    void start() {
        opening.start();
    }

    void close() {
        opening.cancel();
        tick.cancel();
        watch.cancel();
        ends.cancel();
        parts.cancel();
        chains.cancel();
        ledger.cancel();
        book.cancel();
        fleet.cancel();
    }

    FencingToken token() {
        return token;
    }

    /**
     * Whether it has heard of cancellations lately enough, and can act on them; else workers get no answer. Without the records it
     * knows of none: an earlier leader may have missed one for long, and an outage that begins now would keep them from being read.
     */
    boolean hearsCancellations() {
        return core.areRecordsLoaded()
                && env.clock()
                                .now()
                                .since(horizon.completeUntil())
                                .compareTo(env.config().rules().maxCancellationAge())
                        < 0;
    }

    /** How far back this leader wants to be told of cancellations. */
    Span unheard() {
        return horizon.lookBack(env.clock().now(), QUESTION);
    }

    /** At {@code sent} every node was asked; this is what all of them say together of cancellations. */
    void told(CancellationSummary word, Moment sent) {
        // Without the records nothing can be done about it yet, and nothing is counted as heard.
        if (core.areRecordsLoaded()) {
            word.cancelled().forEach(ledger::cancelled);
            horizon.peersAnswered(word.covered(), sent, env.clock().now());
        }
    }

    /** The orders for a worker; null if a newer leader exists. A machine's first report waits for its record. */
    Future<List<WorkerCommand>> onReport(Heartbeat heartbeat) {
        List<WorkerCommand> orders = core.onHeartbeat(heartbeat, env.clock().now());
        Machine unrecorded = orders == null || !core.areRecordsLoaded() ? null : core.unrecorded(heartbeat.machine());
        if (unrecorded == null) {
            return Future.succeededFuture(orders);
        }
        return book.record(unrecorded).map(done -> {
            List<WorkerCommand> all = new ArrayList<>(orders);
            if (done) {
                all.addAll(core.startTasks(
                        heartbeat.machine(), heartbeat.number(), env.clock().now()));
            }
            return all;
        });
    }

    /** Whether a machine's report may be answered; if not, its lease is to run out. */
    boolean answers(MachineId machine) {
        return core.mayAnswer(machine);
    }

    private Future<Span> open() {
        if (!env.catalogue().isKnown()) {
            return Future.succeededFuture(Span.seconds(0.2));
        }
        core.setTypes(env.catalogue().types());
        return whole().compose(v -> ledger.load())
                .compose(revision -> fleet.load().map(revision))
                .compose(revision -> watch.catchUp(revision).map(revision))
                .map(revision -> {
                    core.recordsLoaded();
                    serves = env.clock().now();
                    LOG.info(
                            "records read: {} open jobs, {} machines",
                            core.jobs().size(),
                            core.machineCount());
                    watch.start();
                    ends.start(revision);
                    ledger.start();
                    chains.start();
                    book.start();
                    fleet.start();
                    parts.start();
                    tick.start();
                    opening.cancel();
                    return TICK;
                })
                .recover(e -> {
                    if (!(e instanceof JobStore.UnreadableRecordException)) {
                        return Future.failedFuture(e);
                    }
                    LOG.error(
                            "this node cannot lead: {}. Was it written by a newer version? Run that, or restore the record",
                            e.getMessage());
                    return Future.succeededFuture(UNREADABLE);
                });
    }

    /** Before the records are read: what was lost of them is written anew. */
    private Future<Void> whole() {
        if (env.state().losses().isHolding()) {
            return memory.get().compose(remains -> new StateRebuilder(env, token, key, budget, remains).run());
        }
        return Future.succeededFuture();
    }

    /** Whether it is an open job here. */
    boolean knows(JobId id) {
        return core.job(id) != null;
    }

    /** What this leader knows of one job, while it knows them all. */
    RememberedState remains(JobId id) {
        RememberedState remains = new RememberedState();
        if (core.areRecordsLoaded()) {
            ledger.addTo(remains, id);
            Job job = core.job(id);
            if (job != null) {
                remains.add(SchedulerCore.rememberedState(job));
            }
        }
        return remains;
    }

    /** What this leader knows beside what is recorded, while it knows it all. */
    RememberedState remains() {
        RememberedState remains = new RememberedState();
        if (core.areRecordsLoaded()) {
            ledger.addTo(remains);
            remains.add(core.rememberedState());
        }
        return remains;
    }

    private Future<Span> tick() {
        Moment now = env.clock().now();
        Moment awake = env.pulse().awakeSince();
        core.setAwakeSince(awake.isAfter(serves) ? awake : serves);
        core.expireLeases(now);
        if (leadership.isValid() && !env.config().peers().isEmpty() && core.isCutOffFromWorkers(now)) {
            leadership.abdicate("no worker's report reaches this node");
            return Future.succeededFuture(TICK);
        }
        if (!boundsKept && core.areRecordsLoaded() && core.jobs().stream().noneMatch(Job::isInherited)) {
            // Whatever is open now, this leader has kept to the bounds of: a later one may believe them.
            return leadership.vouchForBounds().map(done -> {
                boundsKept = done;
                return TICK;
            });
        }
        if (now.since(summarised).compareTo(SUMMARY) >= 0) {
            summarised = now;
            LOG.info("{}", core.summary(now));
        }
        return Future.succeededFuture(TICK);
    }

    @Override
    public void taskCompleted(Job job) {
        ledger.touch(job);
    }

    @Override
    public void log(String line) {
        LOG.info("{}", line);
    }
}
