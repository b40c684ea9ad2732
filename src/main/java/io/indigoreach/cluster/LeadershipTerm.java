package io.indigoreach.cluster;

import io.indigoreach.config.PlatformConfig;
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
import io.indigoreach.core.scheduling.HeartbeatResult;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.Machine;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.core.scheduling.SchedulerListener;
import io.indigoreach.core.scheduling.ServiceLevelObjectives;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.state.LeaderElection;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One leadership of this node, from gaining the leadership key to losing it: the scheduler core, and the tasks that load its state,
 * write its records and rent its machines. Bound to the node's event loop. A term is started once, and closed once.
 */
final class LeadershipTerm implements SchedulerListener {
    private static final Logger LOG = LoggerFactory.getLogger(LeadershipTerm.class);
    private static final Span TICK_PERIOD = Span.seconds(0.5);
    /** The share of the state service's write rate that the leader uses; the rest is for submissions and cancellations. */
    private static final double LEADER_WRITE_SHARE = 0.6;
    /** How long a request to the peers may take and still be of use. */
    private static final Span PEER_REQUEST_TIME = Span.seconds(3);

    private static final Span SUMMARY_PERIOD = Span.seconds(10);
    private static final Span LOAD_RETRY = Span.seconds(0.3);
    private static final Span CATALOGUE_RETRY = Span.seconds(0.2);
    /** Until unreadable records are read again. */
    private static final Span UNREADABLE_RETRY = Span.seconds(5);
    /** The kind of an objective on the time until a job starts, as the settings name it. */
    private static final String WAIT_OBJECTIVE = "wait";

    /**
     * The result of a won election.
     *
     * @param revision of the leadership key
     * @param startBoundsTrusted whether the start bounds that earlier leaders recorded can be relied on
     */
    record Leadership(FencingToken token, Revision revision, boolean startBoundsTrusted) {}

    private final NodeContext context;
    private final LeaderElection election;
    private final Supplier<Future<RememberedState>> gatherRememberedState;
    private final SchedulerCore core;
    private final LeaderWrites writes;
    private final MachineStore machineStore;
    private final JobStore jobStore;
    private final DependencyTask dependencyTask;
    private final FleetManager fleetManager;
    private final JobWatch jobWatch;
    private final FinalRecordWatch finalRecordWatch;
    private final PartsTask partsTask;
    private final PeriodicTask loadTask;
    private final PeriodicTask tickTask;
    private final CancellationHorizon cancellationHorizon = new CancellationHorizon();
    private boolean startBoundsTrusted;
    private Moment lastSummaryAt = Moment.NEVER;
    /** Since when heartbeats are answered. Silence of machines before that is due to this node, however long the load took. */
    private Moment servingSince = Moment.NEVER;

    /** @param gatherRememberedState asks all controllers what they remember, if the state service has lost data */
    LeadershipTerm(
            NodeContext context,
            LeaderElection election,
            Leadership leadership,
            Supplier<Future<RememberedState>> gatherRememberedState) {
        this.context = context;
        this.election = election;
        this.gatherRememberedState = gatherRememberedState;
        this.startBoundsTrusted = leadership.startBoundsTrusted();
        this.core = newCore(context, leadership.token(), this);
        this.writes = new LeaderWrites(
                context, leadership.token(), leadership.revision(), newWriteLimiter(context), election::deposed);
        this.machineStore = new MachineStore(writes, core);
        this.jobStore = new JobStore(writes, core, machineStore, startBoundsTrusted, cancellationHorizon);
        this.dependencyTask = new DependencyTask(writes, core, jobStore);
        this.fleetManager = newFleetManager();
        this.jobWatch = new JobWatch(context, jobStore, cancellationHorizon);
        this.finalRecordWatch = new FinalRecordWatch(context);
        this.partsTask = new PartsTask(context, core, leadership.revision(), writes.limiter());
        this.loadTask = new PeriodicTask(context.vertx(), "load records", LOAD_RETRY, this::load);
        this.tickTask = new PeriodicTask(context.vertx(), "tick", TICK_PERIOD, this::tick);
    }

    private static SchedulerCore newCore(NodeContext context, FencingToken token, SchedulerListener listener) {
        return new SchedulerCore(
                token,
                context.config().safetyTimes(),
                context.settings().schedulerSettings(),
                objectives(context.config()),
                context.config().teams(),
                listener);
    }

    private static ServiceLevelObjectives objectives(PlatformConfig config) {
        return new ServiceLevelObjectives(config.objectives().stream()
                .filter(objective -> objective.targetTime().ms() > 0)
                .map(objective -> new ServiceLevelObjectives.Objective(
                        objective.jobClass(), WAIT_OBJECTIVE.equals(objective.kind()), objective.targetTime()))
                .toList());
    }

    private static RateLimiter newWriteLimiter(NodeContext context) {
        double writesPerS = context.config().stateLimits().writesPerS() * LEADER_WRITE_SHARE;
        return new RateLimiter(writesPerS, context.clock().now());
    }

    private FleetManager newFleetManager() {
        IntentLog intentLog = new IntentLog(
                context, writes.token(), writes.leadershipRevision(), election::deposed, writes.limiter());
        return new FleetManager(context, core, writes.token(), intentLog, election::isValid);
    }

    /** Begins to load the records; scheduling starts when they are loaded. */
    void start() {
        loadTask.start();
    }

    /** Ends all tasks of this term. Responses to requests in flight are ignored. */
    void close() {
        loadTask.cancel();
        tickTask.cancel();
        jobWatch.cancel();
        finalRecordWatch.cancel();
        partsTask.cancel();
        dependencyTask.cancel();
        jobStore.cancel();
        machineStore.cancel();
        fleetManager.cancel();
    }

    FencingToken token() {
        return writes.token();
    }

    /**
     * Whether this leader knows the cancellations of late and can act on them; otherwise heartbeats get no response. Before the
     * records are loaded it does not: an earlier leader may have missed a cancellation long ago, and an outage that begins now would
     * keep the records from being read.
     */
    boolean isInformedOfCancellations() {
        Moment now = context.clock().now();
        Span maxAge = context.config().safetyTimes().maxCancellationAge();
        return core.areRecordsLoaded()
                && now.since(cancellationHorizon.completeUntil()).compareTo(maxAge) < 0;
    }

    /** For how long back this leader asks its peers for cancellations. */
    Span cancellationLookBack() {
        return cancellationHorizon.lookBack(context.clock().now(), PEER_REQUEST_TIME);
    }

    /** Applies the cancellations that all peers together have confirmed, in response to a request of {@code sentAt}. */
    void onPeerCancellations(CancellationSummary summary, Moment sentAt) {
        // Without the records, the cancellations cannot be applied, so the horizon must not advance.
        if (core.areRecordsLoaded()) {
            summary.cancelled().forEach(jobStore::onCancelled);
            cancellationHorizon.peersAnswered(
                    summary.covered(), sentAt, context.clock().now());
        }
    }

    /**
     * The commands for a worker, unless a newer leader exists. The response to a machine's first heartbeat waits until the machine
     * is recorded, so that every machine with tasks is known to the next leader.
     */
    Future<HeartbeatResult> onHeartbeat(Heartbeat heartbeat) {
        HeartbeatResult result = core.onHeartbeat(heartbeat, context.clock().now());
        if (result.isSuperseded() || !core.areRecordsLoaded()) {
            return Future.succeededFuture(result);
        }
        LOG.debug(
                "heartbeat processed machine={} token={} heartbeat_token={} commands={}",
                heartbeat.machine(),
                token(),
                heartbeat.token(),
                result.commands());
        Optional<Machine> unrecorded = core.unrecorded(heartbeat.machine());
        if (unrecorded.isEmpty()) {
            return Future.succeededFuture(result);
        }
        return machineStore
                .record(unrecorded.get())
                .map(recorded -> recorded ? withStartCommands(result, heartbeat) : result);
    }

    private HeartbeatResult withStartCommands(HeartbeatResult result, Heartbeat heartbeat) {
        List<WorkerCommand> all = new ArrayList<>(result.commands());
        all.addAll(core.startTasks(
                heartbeat.machine(), heartbeat.number(), context.clock().now()));
        return new HeartbeatResult.Commands(all);
    }

    /** Whether a machine's heartbeat may be answered; otherwise its lease is to expire. */
    boolean mayAnswer(MachineId machine) {
        return core.mayAnswer(machine);
    }

    /** One attempt to load the records. */
    private Future<Span> load() {
        if (!context.catalogue().isKnown()) {
            return Future.succeededFuture(CATALOGUE_RETRY);
        }
        core.setTypes(context.catalogue().types());
        return rebuildIfLost()
                .compose(rebuilt -> jobStore.load())
                .compose(revision -> fleetManager.load().map(revision))
                .compose(revision -> jobWatch.catchUp(revision).map(revision))
                .map(this::onLoaded)
                .recover(LeadershipTerm::retryIfUnreadable);
    }

    private Span onLoaded(long revision) {
        core.recordsLoaded();
        servingSince = context.clock().now();
        LOG.info(
                "records loaded jobs={} machines={} token={} revision={}",
                core.jobs().size(),
                core.machineCount(),
                token(),
                revision);
        jobWatch.start();
        finalRecordWatch.start(revision);
        jobStore.start();
        dependencyTask.start();
        machineStore.start();
        fleetManager.start();
        partsTask.start();
        tickTask.start();
        loadTask.cancel();
        return TICK_PERIOD;
    }

    private static Future<Span> retryIfUnreadable(Throwable failure) {
        if (!(failure instanceof UnreadableRecordException)) {
            return Future.failedFuture(failure);
        }
        LOG.error("leadership blocked by unreadable record cause={}", failure.getMessage());
        return Future.succeededFuture(UNREADABLE_RETRY);
    }

    /** Writes lost records again, before the load reads them. */
    private Future<Void> rebuildIfLost() {
        if (!context.state().losses().isHolding()) {
            return Future.succeededFuture();
        }
        return gatherRememberedState.get().compose(this::rebuild);
    }

    private Future<Void> rebuild(RememberedState rememberedState) {
        StateRebuilder rebuilder = new StateRebuilder(
                context, writes.token(), writes.leadershipRevision(), writes.limiter(), rememberedState);
        return rebuilder.run();
    }

    /** Whether the job is open, as far as this leader has loaded it. */
    boolean hasOpen(JobId id) {
        return core.job(id) != null;
    }

    /** What this leader remembers of one job; empty until all records are loaded. */
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

    /** What this leader remembers of all jobs and machines; empty until all records are loaded. */
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
        Moment awakeSince = context.loopMonitor().runningSince();
        core.setAwakeSince(awakeSince.isAfter(servingSince) ? awakeSince : servingSince);
        core.expireLeases(now);
        if (election.isValid() && !context.config().peers().isEmpty() && core.isCutOffFromWorkers(now)) {
            election.abdicate("no-heartbeats");
            return Future.succeededFuture(TICK_PERIOD);
        }
        if (!startBoundsTrusted && hasNoInheritedJobs()) {
            return vouchForStartBounds();
        }
        if (now.since(lastSummaryAt).compareTo(SUMMARY_PERIOD) >= 0) {
            lastSummaryAt = now;
            LOG.info("{}", core.summary());
        }
        return Future.succeededFuture(TICK_PERIOD);
    }

    private boolean hasNoInheritedJobs() {
        return core.areRecordsLoaded() && core.jobs().stream().noneMatch(Job::isInherited);
    }

    /** This leader has respected the start bounds of all jobs that are open now, so a later one may rely on them. */
    private Future<Span> vouchForStartBounds() {
        return election.confirmStartBounds().map(recorded -> {
            startBoundsTrusted = recorded;
            return TICK_PERIOD;
        });
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
