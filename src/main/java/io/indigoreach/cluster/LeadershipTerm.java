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
 * One leadership term of this node, from the acquisition of the leadership key to its loss. Owns the scheduler core and
 * the tasks that load its state, write its records and rent its machines. Bound to the node's event loop. A term is
 * started once and closed once.
 */
final class LeadershipTerm implements SchedulerListener {
    private static final Logger LOG = LoggerFactory.getLogger(LeadershipTerm.class);
    private static final Span TICK_PERIOD = Span.seconds(0.5);
    /** Share of the state service's write rate that the leader uses; submissions and cancellations use the rest. */
    private static final double LEADER_WRITE_SHARE = 0.6;
    /** Maximum duration of a request to the peers; a later response is too old to use. */
    private static final Span MAX_PEER_REQUEST_TIME = Span.seconds(3);

    private static final Span SUMMARY_PERIOD = Span.seconds(10);
    private static final Span LOAD_RETRY_DELAY = Span.seconds(0.3);
    private static final Span CATALOGUE_RETRY_DELAY = Span.seconds(0.2);
    /** Delay before unreadable records are read again. */
    private static final Span UNREADABLE_RETRY_DELAY = Span.seconds(5);
    /** Name that the settings use for the start-time objective of a job class. */
    private static final String WAIT_OBJECTIVE = "wait";

    /**
     * The leadership that a won election grants.
     *
     * @param revision the revision of the leadership key
     * @param startBoundsTrusted whether the start bounds that earlier leaders recorded are reliable
     */
    record Leadership(FencingToken token, Revision revision, boolean startBoundsTrusted) {}

    private final NodeContext context;
    private final LeaderElection election;
    private final Supplier<Future<RememberedState>> gatherRememberedState;
    private final SchedulerCore core;
    private final LeaderWriteContext writes;
    private final MachineStore machineStore;
    private final JobStore jobStore;
    private final DependencyTask dependencyTask;
    private final FleetManager fleetManager;
    private final JobWatch jobWatch;
    private final FinalRecordWatch finalRecordWatch;
    private final FeatureTask partsTask;
    private final PeriodicTask loadTask;
    private final PeriodicTask tickTask;
    private final CancellationHorizon cancellationHorizon = new CancellationHorizon();
    private boolean startBoundsTrusted;
    private Moment lastSummaryLoggedAt = Moment.NEVER;
    /** When this node began to respond to heartbeats. Missing heartbeats before that do not count against a machine. */
    private Moment servingSince = Moment.NEVER;

    /**
     * @param gatherRememberedState collects the remembered state of all controllers after the state service has lost
     * data
     */
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
        this.writes = new LeaderWriteContext(
                context,
                leadership.token(),
                leadership.revision(),
                newWriteLimiter(context),
                election::onLeadershipConflict);
        this.machineStore = new MachineStore(writes, core);
        this.jobStore = new JobStore(writes, core, machineStore, startBoundsTrusted, cancellationHorizon);
        this.dependencyTask = new DependencyTask(writes, core, jobStore);
        this.fleetManager = newFleetManager();
        this.jobWatch = new JobWatch(context, jobStore, cancellationHorizon);
        this.finalRecordWatch = new FinalRecordWatch(context);
        this.partsTask = new FeatureTask(context, core, leadership.revision(), writes.limiter());
        this.loadTask = new PeriodicTask(context.vertx(), "load records", LOAD_RETRY_DELAY, this::load);
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
                context, writes.token(), writes.leadershipRevision(), election::onLeadershipConflict, writes.limiter());
        return new FleetManager(context, core, writes.token(), intentLog, election::isValid);
    }

    /** Starts loading the records; scheduling starts once they are loaded. */
    void start() {
        loadTask.start();
    }

    /** Cancels all tasks of this term. Responses to requests in flight are ignored. */
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
     * Whether this leader knows all recent cancellations and can apply them; if not, it does not respond to heartbeats.
     * Always false before the records are loaded: an earlier leader may have missed an old cancellation, and an outage
     * could still prevent the records from being read.
     */
    boolean knowsRecentCancellations() {
        Moment now = context.clock().now();
        Span maxAge = context.config().safetyTimes().maxCancellationAge();
        return core.areRecordsLoaded()
                && now.since(cancellationHorizon.completeUntil()).compareTo(maxAge) < 0;
    }

    /** How far back in time this leader asks its peers for cancellations. */
    Span cancellationLookBack() {
        return cancellationHorizon.requiredLookBack(context.clock().now(), MAX_PEER_REQUEST_TIME);
    }

    /** Applies the cancellations that the peers reported in response to a request sent at {@code sentAt}. */
    void onPeerCancellations(CancellationSummary summary, Moment sentAt) {
        // Cancellations cannot be applied before the records are loaded, so the horizon must not advance.
        if (core.areRecordsLoaded()) {
            summary.cancelled().forEach(jobStore::onCancelled);
            cancellationHorizon.onPeersResponded(
                    summary.covered(), sentAt, context.clock().now());
        }
    }

    /**
     * Returns the commands for a worker, unless the heartbeat shows that a newer leader exists. The response to a
     * machine's first heartbeat is delayed until the machine is recorded, so that the next leader knows every machine
     * that runs tasks.
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
        Optional<Machine> unrecorded = core.machineToRecord(heartbeat.machine());
        if (unrecorded.isEmpty()) {
            return Future.succeededFuture(result);
        }
        return machineStore
                .recordMachine(unrecorded.get())
                .map(recorded -> recorded ? withStartCommands(result, heartbeat) : result);
    }

    private HeartbeatResult withStartCommands(HeartbeatResult result, Heartbeat heartbeat) {
        List<WorkerCommand> allCommands = new ArrayList<>(result.commands());
        allCommands.addAll(core.startTasks(
                heartbeat.machine(), heartbeat.number(), context.clock().now()));
        return new HeartbeatResult.Commands(allCommands);
    }

    /** Whether this leader may respond to a machine's heartbeat; if not, the machine's lease expires. */
    boolean mayRespondTo(MachineId machine) {
        return core.mayAnswer(machine);
    }

    /** Makes one attempt to load the records; returns the delay until the next attempt. */
    private Future<Span> load() {
        if (!context.catalogue().isKnown()) {
            return Future.succeededFuture(CATALOGUE_RETRY_DELAY);
        }
        core.addMachineTypes(context.catalogue().types());
        return rebuildIfLost()
                .compose(rebuilt -> jobStore.load())
                .compose(revision -> fleetManager.load().map(revision))
                .compose(revision -> jobWatch.catchUp(revision).map(revision))
                .map(this::onLoaded)
                .recover(LeadershipTerm::retryIfUnreadable);
    }

    private Span onLoaded(long revision) {
        core.onRecordsLoaded();
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
        return Future.succeededFuture(UNREADABLE_RETRY_DELAY);
    }

    /** If the state service has lost data, rewrites the lost records before they are loaded. */
    private Future<Void> rebuildIfLost() {
        if (!context.state().losses().isLossPending()) {
            return Future.succeededFuture();
        }
        return gatherRememberedState.get().compose(this::rebuild);
    }

    private Future<Void> rebuild(RememberedState rememberedState) {
        StateRebuilder rebuilder = new StateRebuilder(
                context, writes.token(), writes.leadershipRevision(), writes.limiter(), rememberedState);
        return rebuilder.run();
    }

    /** Whether the job is open, among the jobs that this leader has loaded. */
    boolean isJobOpen(JobId id) {
        return core.job(id) != null;
    }

    /** This leader's copy of one job's state; empty until all records are loaded. */
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

    /** This leader's copy of the state of all jobs and machines; empty until all records are loaded. */
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
        core.setEventLoopRunningSince(awakeSince.isAfter(servingSince) ? awakeSince : servingSince);
        core.expireLeases(now);
        if (election.isValid() && !context.config().peers().isEmpty() && core.isPartitionedFromWorkers(now)) {
            election.resign("no-heartbeats");
            return Future.succeededFuture(TICK_PERIOD);
        }
        if (!startBoundsTrusted && hasNoInheritedJobs()) {
            return confirmStartBounds();
        }
        if (now.since(lastSummaryLoggedAt).compareTo(SUMMARY_PERIOD) >= 0) {
            lastSummaryLoggedAt = now;
            LOG.info("{}", core.summary(now));
        }
        return Future.succeededFuture(TICK_PERIOD);
    }

    private boolean hasNoInheritedJobs() {
        return core.areRecordsLoaded() && core.jobs().stream().noneMatch(Job::isInherited);
    }

    /** Records that later leaders may rely on the start bounds, as this leader has respected them for all open jobs. */
    private Future<Span> confirmStartBounds() {
        return election.confirmStartBounds().map(recorded -> {
            startBoundsTrusted = recorded;
            return TICK_PERIOD;
        });
    }

    @Override
    public void onTaskCompleted(Job job) {
        jobStore.scheduleWrite(job);
    }

    @Override
    public void log(String line) {
        LOG.info("{}", line);
    }
}
