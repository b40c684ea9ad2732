package io.indigoreach.cluster;

import io.indigoreach.config.PlatformConfig;
import io.indigoreach.core.leadership.TokenGenerator;
import io.indigoreach.core.loss.LeaderMemory;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.WorkerCommand;
import io.indigoreach.core.scheduling.HeartbeatResult;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.state.Candidate;
import io.indigoreach.state.ElectionSettings;
import io.indigoreach.state.FormatGate;
import io.indigoreach.state.LeaderElection;
import io.indigoreach.state.StateAccess;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Takes part in the leader election, runs a {@link LeadershipTerm} while this node leads, and otherwise redirects
 * workers to the current leader. Bound to the node's event loop.
 */
public final class Controller implements LeaderElection.Listener {
    /**
     * The response to a worker's heartbeat.
     *
     * @param accepted whether this node leads and has processed the heartbeat
     * @param token the fencing token of the leader that issued the commands; null unless accepted
     * @param commands the commands for the worker; empty unless accepted
     * @param leader the node that the worker should use instead; null if accepted, or if the leader is unknown
     */
    public record HeartbeatResponse(boolean accepted, FencingToken token, List<WorkerCommand> commands, String leader) {
        static HeartbeatResponse redirect(String leader) {
            return new HeartbeatResponse(false, null, List.of(), leader);
        }
    }

    /** Collects the controllers' copies of records that the state service has lost. */
    @FunctionalInterface
    interface RememberedStateSource {
        Future<RememberedState> gather();
    }

    /**
     * Requests from every other node a pledge not to lead, and the cancellations that it confirmed within {@code
     * lookBack}.
     */
    @FunctionalInterface
    interface PledgeSource {
        Future<PledgeResponse> request(Span lookBack);
    }

    /** Interval between checks for a known leader while the node starts. */
    private static final Span LEADER_POLL_INTERVAL = Span.seconds(0.05);
    /** Logged reason for resigning when only this node cannot reach the state service. */
    private static final String UNREACHABLE_FROM_THIS_NODE_ONLY = "unreachable-from-this-node-only";

    private final NodeContext context;
    private final LeaderElection election;
    private final FormatGate formatGate;
    private final HeartbeatWarmUp warmUp;
    /** The state that this node held at the end of its last leadership term. */
    private final LeaderMemory leaderMemory = new LeaderMemory();

    private RememberedStateSource rememberedStateSource = () -> Future.succeededFuture(new RememberedState());
    /** Null while this node does not lead. */
    private LeadershipTerm term;

    private boolean isolated;

    /** @param renewalLoop the event loop for lease renewals, which must not be delayed by other work */
    Controller(NodeContext context, Vertx renewalLoop) {
        this.context = context;
        this.warmUp = new HeartbeatWarmUp(context, () -> term != null);
        List<String> nodes = nodeNames(context.config());
        this.election = election(renewalLoop, nodes);
        this.formatGate = new FormatGate(
                context.vertx(),
                context.state(),
                context.clock(),
                election,
                context.config().node(),
                nodes);
    }

    /** The names of all nodes of the deployment, sorted. */
    private static List<String> nodeNames(PlatformConfig config) {
        Stream<String> peers = config.peers().stream().map(PlatformConfig.Peer::node);
        return Stream.concat(Stream.of(config.node()), peers).sorted().toList();
    }

    private LeaderElection election(Vertx renewalLoop, List<String> nodes) {
        PlatformConfig config = context.config();
        String process = Long.toHexString(ThreadLocalRandom.current().nextLong()) + "-"
                + context.clock().timeOfDay();
        StateClient renewals = new StateClient(new ServiceClient(renewalLoop, config.state(), 2), null);
        TokenGenerator tokens =
                new TokenGenerator(nodes.indexOf(config.node()), context.clock().timeOfDay(), config.maxClockError());
        ElectionSettings electionSettings = new ElectionSettings(
                new StateAccess(context.vertx(), context.state()),
                new StateAccess(renewalLoop, renewals),
                context.clock(),
                new Candidate(config.node(), process, config.peers().size()),
                context.lease(),
                tokens);
        return new LeaderElection(electionSettings, this);
    }

    /**
     * Sets the source of the other controllers' remembered state, to which this node adds the state of its last term.
     */
    void setRememberedStateSource(RememberedStateSource source) {
        this.rememberedStateSource = source;
    }

    /**
     * Called when the state service has lost data. A leader retains its state and campaigns again, to rebuild the
     * records from it.
     */
    void onStateDataLoss() {
        election.onLeadershipConflict();
    }

    /** Whether this node leads and the job is open. */
    boolean isJobOpen(JobId id) {
        return term != null && term.isJobOpen(id);
    }

    /** This node's copy of a job's state if it leads; otherwise the job's final state, if known from the last term. */
    RememberedState rememberedState(JobId id) {
        if (term != null) {
            return term.rememberedState(id);
        }
        RememberedState rememberedState = new RememberedState();
        RememberedState.FinishedJob finishedJob =
                leaderMemory.rememberedState().finishedJobs().get(id);
        if (finishedJob != null) {
            rememberedState.add(id, finishedJob);
        }
        return rememberedState;
    }

    private Future<RememberedState> gatherRememberedState() {
        RememberedState all = new RememberedState();
        all.add(leaderMemory.rememberedState());
        return rememberedStateSource.gather().map(others -> {
            all.add(others);
            return all;
        });
    }

    /** Sets how pledges are requested from the other nodes, and how to check that none of them leads. */
    void setPeerQueries(PledgeSource pledges, Supplier<Future<Boolean>> noPeerLeads) {
        election.setPeerQueries(() -> requestPledges(pledges), noPeerLeads);
    }

    /**
     * Whether every other node has pledged. Passes the cancellations in the responses to the term that requested them.
     */
    private Future<Boolean> requestPledges(PledgeSource pledges) {
        Moment sentAt = context.clock().now();
        LeadershipTerm requestingTerm = term;
        Span lookBack = requestingTerm == null ? Span.ZERO : requestingTerm.cancellationLookBack();
        return pledges.request(lookBack).map(promises -> {
            if (requestingTerm != null && requestingTerm == term) {
                requestingTerm.onPeerCancellations(promises.cancellations(), sentAt);
            }
            return promises.allPledged();
        });
    }

    /** Tracks whether every node supports this version's data format. */
    FormatGate formatGate() {
        return formatGate;
    }

    boolean leads() {
        return election.isLeading();
    }

    /** Pledges not to lead for a limited time; false if this node leads or is being elected. */
    boolean pledge() {
        return election.pledge();
    }

    /** Removes the leadership key of an earlier process of this node; true if no node leads afterwards. Never fails. */
    public Future<Boolean> removePredecessorKey(Function<String, Future<Boolean>> leadingQuery) {
        return election.clearPredecessorKey(leadingQuery);
    }

    /**
     * Completes when a node has begun to lead, or at {@code deadline}. Guards against opening the HTTP listener too
     * early: after all nodes have stopped, hundreds of workers connect to each node as soon as it listens, which delays
     * the election. With three nodes and 450 machines, a leader was elected only 2.9 to 3.3 s after the listeners had
     * opened.
     */
    Future<Void> awaitLeader(Moment deadline) {
        return awaitLeader(election.leadershipRevision(), deadline);
    }

    private Future<Void> awaitLeader(Revision previous, Moment deadline) {
        boolean leaderElected =
                election.leaderNode() != null && !election.leadershipRevision().equals(previous);
        if (election.isLeading() || leaderElected || !context.clock().now().isBefore(deadline)) {
            return Future.succeededFuture();
        }
        return context.vertx()
                .timer(LEADER_POLL_INTERVAL.ms(), TimeUnit.MILLISECONDS)
                .compose(timer -> awaitLeader(previous, deadline));
    }

    /** Starts the election campaign, the data format upgrade and the warm-up. */
    public void start() {
        election.start();
        formatGate.start();
        warmUp.start();
    }

    /** Closes the leadership term, if this node leads, and leaves the leadership key to expire with its lease. */
    public void stop() {
        election.stop();
        formatGate.stop();
        warmUp.cancel();
        if (term != null) {
            term.close();
            term = null;
        }
    }

    /** Identifies the current leadership; the value differs between any two leaderships that this node has observed. */
    Object currentLeadership() {
        return election.leadershipRevision();
    }

    /**
     * Resigns because only this node cannot reach the state service. Returns the key's revision, or null if it does not
     * lead.
     */
    Revision resign() {
        return election.handOver(UNREACHABLE_FROM_THIS_NODE_ONLY);
    }

    /** Removes the leadership key of a leader that has resigned. */
    Future<Void> removeKey(Revision leadershipRevision) {
        return election.removeKey(leadershipRevision);
    }

    /**
     * Processes a worker's heartbeat if this node may currently act as the leader; otherwise redirects it without
     * decoding it. After a leader has failed, every machine tries every node, and decoding is slow on a node that has
     * just started.
     */
    public Future<HeartbeatResponse> onHeartbeat(Supplier<Heartbeat> decoder) {
        if (!mayRespond()) {
            return Future.succeededFuture(HeartbeatResponse.redirect(redirectTarget()));
        }
        LeadershipTerm currentTerm = term;
        Heartbeat heartbeat = decoder.get();
        election.recordSeenToken(heartbeat.token());
        return currentTerm.onHeartbeat(heartbeat).map(result -> respond(currentTerm, heartbeat, result));
    }

    private HeartbeatResponse respond(LeadershipTerm requestedTerm, Heartbeat heartbeat, HeartbeatResult result) {
        if (result.isSuperseded()) {
            election.onLeadershipConflict();
            return HeartbeatResponse.redirect(null);
        }
        // Checked again before responding: the leadership may have ended while the machine was being recorded.
        if (requestedTerm == term && mayRespond() && requestedTerm.mayRespondTo(heartbeat.machine())) {
            return new HeartbeatResponse(true, requestedTerm.token(), result.commands(), null);
        }
        return HeartbeatResponse.redirect(redirectTarget());
    }

    private boolean mayRespond() {
        return term != null && election.isValid() && term.knowsRecentCancellations();
    }

    /**
     * Sets whether this node reaches neither the state service nor any peer, which makes the leader it knows
     * unreliable.
     */
    void setIsolated(boolean isolated) {
        this.isolated = isolated;
    }

    /**
     * The other node that leads, or null if unknown: redirecting a worker to the wrong node costs more than no
     * redirect.
     */
    private String redirectTarget() {
        String leader = election.leaderNode();
        return isolated || context.config().node().equals(leader) ? null : leader;
    }

    @Override
    public void leadershipGained(FencingToken token, Revision leadershipRevision, boolean startBoundsTrusted) {
        leaderMemory.beginTerm(election.ledPreviousTerm());
        LeadershipTerm.Leadership leadership =
                new LeadershipTerm.Leadership(token, leadershipRevision, startBoundsTrusted);
        term = new LeadershipTerm(context, election, leadership, this::gatherRememberedState);
        term.start();
    }

    @Override
    public void leadershipLost(String reason) {
        if (term != null) {
            leaderMemory.endTerm(term.rememberedState());
            term.close();
            term = null;
        }
    }
}
