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
    private static final double LEADER_WRITE_SHARE = 0.6;
    /** What a question to the other nodes and their answers may take and still be of use. */
    private static final Span PEER_QUESTION_TIME = Span.seconds(3);

    private static final Span SUMMARY = Span.seconds(10);
    /** Before records that could not be read are read once more. */
    private static final Span UNREADABLE_RETRY = Span.seconds(5);

    /** What a reign works with. */
    record Context(
            Vertx vertx,
            SteadyClock clock,
            EventLoopMonitor loopMonitor,
            StateClient state,
            CloudClient cloud,
            Catalogue catalogue,
            PlatformConfig config,
            Settings settings,
            Span lease,
            Parts parts,
            JobRepairer repairer) {
        Context(
                Vertx vertx,
                SteadyClock clock,
                EventLoopMonitor loopMonitor,
                StateClient state,
                CloudClient cloud,
                Catalogue catalogue,
                PlatformConfig config,
                Settings settings,
                Span lease) {
            this(vertx, clock, loopMonitor, state, cloud, catalogue, config, settings, lease, Parts.NONE);
        }

        Context(
                Vertx vertx,
                SteadyClock clock,
                EventLoopMonitor loopMonitor,
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
                    loopMonitor,
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
            return state.limits().within(config.stateLimits());
        }
    }

    private final Context context;
    private final FencingToken token;
    private final LeaderElection election;
    private final SchedulerCore core;
    private final MachineStore machineStore;
    private final JobStore jobStore;
    private final DependencyTask dependencyTask;
    private final FleetManager fleetManager;
    private final JobWatch jobWatch;
    private final FinalRecordWatch finalRecordWatch;
    private final PartsTask partsTask;
    private final PeriodicTask openingTask;
    private final PeriodicTask tick;
    private final Supplier<Future<RememberedState>> gatherRememberedState;
    private final RateLimiter writeLimiter;
    private final Revision leadershipRevision;
    private Moment lastSummaryAt = Moment.NEVER;
    private final CancellationHorizon cancellationHorizon = new CancellationHorizon();
    private boolean startBoundsTrusted;
    /** Since when reports are taken; what machines were silent before that is this node's doing, however long the reading took. */
    private Moment servesSince = Moment.NEVER;

    /**
     * @param startBoundsTrusted the start bounds that earlier leaders recorded can be believed
     * @param gatherRememberedState what controllers remember, asked for where the state service has lost data
     */
    LeadershipTerm(
            Context context,
            FencingToken token,
            Revision leadershipRevision,
            LeaderElection election,
            boolean startBoundsTrusted,
            Supplier<Future<RememberedState>> gatherRememberedState) {
        this.gatherRememberedState = gatherRememberedState;
        this.leadershipRevision = leadershipRevision;
        this.context = context;
        this.token = token;
        this.election = election;
        this.core = new SchedulerCore(
                token,
                context.config().rules(),
                context.settings().tuning(),
                aims(context.config()),
                context.config().teams(),
                this);
        this.writeLimiter = new RateLimiter(
                context.config().stateLimits().writesPerS() * LEADER_WRITE_SHARE,
                context.clock().now());
        this.machineStore = new MachineStore(context, core, token, leadershipRevision, election::deposed, writeLimiter);
        this.jobStore = new JobStore(
                context,
                core,
                machineStore,
                leadershipRevision,
                election::deposed,
                writeLimiter,
                startBoundsTrusted,
                cancellationHorizon);
        this.dependencyTask =
                new DependencyTask(context, core, jobStore, leadershipRevision, election::deposed, writeLimiter);
        this.startBoundsTrusted = startBoundsTrusted;
        this.fleetManager = new FleetManager(
                context,
                core,
                token,
                new IntentLog(context, token, leadershipRevision, election::deposed, writeLimiter),
                election::isValid);
        this.jobWatch = new JobWatch(context, jobStore, cancellationHorizon);
        this.finalRecordWatch = new FinalRecordWatch(context);
        this.partsTask = new PartsTask(context, core, leadershipRevision, writeLimiter);
        this.openingTask = new PeriodicTask(context.vertx(), "opening", Span.seconds(0.3), this::open);
        this.tick = new PeriodicTask(context.vertx(), "tick", TICK, this::tick);
    }

    private static ServiceLevelObjectives aims(PlatformConfig config) {
        return new ServiceLevelObjectives(config.objectives().stream()
                .filter(o -> o.within().ms() > 0)
                .map(o -> new ServiceLevelObjectives.Objective(o.jobClass(), "wait".equals(o.kind()), o.within()))
                .toList());
    }

    void start() {
        openingTask.start();
    }

    void close() {
        openingTask.cancel();
        tick.cancel();
        jobWatch.cancel();
        finalRecordWatch.cancel();
        partsTask.cancel();
        dependencyTask.cancel();
        jobStore.cancel();
        machineStore.cancel();
        fleetManager.cancel();
    }

    FencingToken token() {
        return token;
    }

    /**
     * Whether it has heard of cancellations lately enough, and can act on them; else workers get no answer. Without the records it
     * knows of none: an earlier leader may have missed one for long, and an outage that begins now would keep them from being read.
     */
    boolean isInformedOfCancellations() {
        return core.areRecordsLoaded()
                && context.clock()
                                .now()
                                .since(cancellationHorizon.completeUntil())
                                .compareTo(context.config().rules().maxCancellationAge())
                        < 0;
    }

    /** How far back this leader wants to be told of cancellations. */
    Span cancellationLookBack() {
        return cancellationHorizon.lookBack(context.clock().now(), PEER_QUESTION_TIME);
    }

    /** At {@code sent} every node was asked; this is what all of them say together of cancellations. */
    void onPeerCancellations(CancellationSummary word, Moment sent) {
        // Without the records nothing can be done about it yet, and nothing is counted as heard.
        if (core.areRecordsLoaded()) {
            word.cancelled().forEach(jobStore::onCancelled);
            cancellationHorizon.peersAnswered(
                    word.covered(), sent, context.clock().now());
        }
    }

    /** The orders for a worker; null if a newer leader exists. A machine's first report waits for its record. */
    Future<List<WorkerCommand>> onHeartbeat(Heartbeat heartbeat) {
        List<WorkerCommand> orders = core.onHeartbeat(heartbeat, context.clock().now());
        Machine unrecorded = orders == null || !core.areRecordsLoaded() ? null : core.unrecorded(heartbeat.machine());
        if (unrecorded == null) {
            return Future.succeededFuture(orders);
        }
        return machineStore.record(unrecorded).map(done -> {
            List<WorkerCommand> all = new ArrayList<>(orders);
            if (done) {
                all.addAll(core.startTasks(
                        heartbeat.machine(), heartbeat.number(), context.clock().now()));
            }
            return all;
        });
    }

    /** Whether a machine's report may be answered; if not, its lease is to run out. */
    boolean mayAnswer(MachineId machine) {
        return core.mayAnswer(machine);
    }

    private Future<Span> open() {
        if (!context.catalogue().isKnown()) {
            return Future.succeededFuture(Span.seconds(0.2));
        }
        core.setTypes(context.catalogue().types());
        return rebuildIfLost()
                .compose(v -> jobStore.load())
                .compose(revision -> fleetManager.load().map(revision))
                .compose(revision -> jobWatch.catchUp(revision).map(revision))
                .map(revision -> {
                    core.recordsLoaded();
                    servesSince = context.clock().now();
                    LOG.info(
                            "records read: {} open jobs, {} machines",
                            core.jobs().size(),
                            core.machineCount());
                    jobWatch.start();
                    finalRecordWatch.start(revision);
                    jobStore.start();
                    dependencyTask.start();
                    machineStore.start();
                    fleetManager.start();
                    partsTask.start();
                    tick.start();
                    openingTask.cancel();
                    return TICK;
                })
                .recover(e -> {
                    if (!(e instanceof JobStore.UnreadableRecordException)) {
                        return Future.failedFuture(e);
                    }
                    LOG.error(
                            "this node cannot lead: {}. Was it written by a newer version? Run that, or restore the record",
                            e.getMessage());
                    return Future.succeededFuture(UNREADABLE_RETRY);
                });
    }

    /** Before the records are read: what was lost of them is written anew. */
    private Future<Void> rebuildIfLost() {
        if (context.state().losses().isHolding()) {
            return gatherRememberedState
                    .get()
                    .compose(rememberedState -> new StateRebuilder(
                                    context, token, leadershipRevision, writeLimiter, rememberedState)
                            .run());
        }
        return Future.succeededFuture();
    }

    /** Whether it is an open job here. */
    boolean hasOpen(JobId id) {
        return core.job(id) != null;
    }

    /** What this leader knows of one job, while it knows them all. */
    RememberedState rememberedState(JobId id) {
        RememberedState rememberedState = new RememberedState();
        if (core.areRecordsLoaded()) {
            jobStore.addTo(rememberedState, id);
            Job job = core.job(id);
            if (job != null) {
                rememberedState.add(SchedulerCore.rememberedState(job));
            }
        }
        return rememberedState;
    }

    /** What this leader knows beside what is recorded, while it knows it all. */
    RememberedState rememberedState() {
        RememberedState rememberedState = new RememberedState();
        if (core.areRecordsLoaded()) {
            jobStore.addTo(rememberedState);
            rememberedState.add(core.rememberedState());
        }
        return rememberedState;
    }

    private Future<Span> tick() {
        Moment now = context.clock().now();
        Moment awake = context.loopMonitor().runningSince();
        core.setAwakeSince(awake.isAfter(servesSince) ? awake : servesSince);
        core.expireLeases(now);
        if (election.isValid() && !context.config().peers().isEmpty() && core.isCutOffFromWorkers(now)) {
            election.abdicate("no worker's report reaches this node");
            return Future.succeededFuture(TICK);
        }
        if (!startBoundsTrusted
                && core.areRecordsLoaded()
                && core.jobs().stream().noneMatch(Job::isInherited)) {
            // Whatever is open now, this leader has kept to the bounds of: a later one may believe them.
            return election.vouchForStartBounds().map(done -> {
                startBoundsTrusted = done;
                return TICK;
            });
        }
        if (now.since(lastSummaryAt).compareTo(SUMMARY) >= 0) {
            lastSummaryAt = now;
            LOG.info("{}", core.summary(now));
        }
        return Future.succeededFuture(TICK);
    }

    @Override
    public void taskCompleted(Job job) {
        jobStore.markDirty(job);
    }

    @Override
    public void log(String line) {
        LOG.info("{}", line);
    }
}
