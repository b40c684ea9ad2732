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
 * This node's part among the controllers: it takes part in the election, runs a {@link LeadershipTerm} while it leads, and knows who
 * leads otherwise. Bound to the node's event loop.
 */
public final class Controller implements LeaderElection.Listener {
    /**
     * The response to a worker's heartbeat.
     *
     * @param accepted whether this node leads and has processed the heartbeat
     * @param token the token under which the commands are given; null unless accepted
     * @param commands for the worker; empty unless accepted
     * @param leader where the worker should go; null if accepted or not known
     */
    public record HeartbeatResponse(boolean accepted, FencingToken token, List<WorkerCommand> commands, String leader) {
        static HeartbeatResponse redirect(String leader) {
            return new HeartbeatResponse(false, null, List.of(), leader);
        }
    }

    /** Collects what the controllers remember of lost records. */
    @FunctionalInterface
    interface RememberedStateSource {
        Future<RememberedState> gather();
    }

    /** Asks every other node for its pledge not to lead, and for the cancellations that it confirmed within {@code lookBack}. */
    @FunctionalInterface
    interface PledgeSource {
        Future<PledgeResponse> request(Span lookBack);
    }

    /** Between two looks at whether a leader is known, while a node starts. */
    private static final Span LEADER_POLL_INTERVAL = Span.seconds(0.05);
    /** Reason of a leadership that ends as only this node is without the state service; part of a log line. */
    private static final String UNREACHABLE_FROM_THIS_NODE_ONLY = "unreachable-from-this-node-only";

    private final NodeContext context;
    private final LeaderElection election;
    private final FormatGate formatGate;
    private final HeartbeatWarmUp warmUp;
    /** What this node knew when it last led. */
    private final LeaderMemory leaderMemory = new LeaderMemory();

    private RememberedStateSource rememberedStateSource = () -> Future.succeededFuture(new RememberedState());
    /** Null while this node does not lead. */
    private LeadershipTerm term;

    private boolean isolated;

    /** {@code renewalLoop}: the event loop of the lease's renewals, which must not wait for anything else. */
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

    /** All nodes of the deployment in the order of their names. */
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

    /** Where to get what the controllers remember of jobs, besides what this node knew as a leader. */
    void setRememberedStateSource(RememberedStateSource source) {
        this.rememberedStateSource = source;
    }

    /** The state service has lost data: a leader keeps what it knows, and campaigns anew to rebuild from it. */
    void onStateDataLoss() {
        election.onLeadershipConflict();
    }

    /** Whether this node leads and has the job open. */
    boolean isJobOpen(JobId id) {
        return term != null && term.isJobOpen(id);
    }

    /** What this node knows of one job as the leader, or as the last thing it knew of its end. */
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

    /** How to ask every other node for its pledge not to lead, and whether none of them leads now. */
    void setPeerQueries(PledgeSource pledges, Supplier<Future<Boolean>> noPeerLeads) {
        election.setPeerQueries(() -> requestPledges(pledges), noPeerLeads);
    }

    /** Whether every other node has pledged; the cancellations in their answers go to the current term. */
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

    /** Whether every node supports this version's data format. */
    FormatGate formatGate() {
        return formatGate;
    }

    boolean leads() {
        return election.isLeading();
    }

    /** Pledges not to lead for a while; false if this node leads or is about to. */
    boolean pledge() {
        return election.pledge();
    }

    /** Removes what a predecessor of this process left behind; true if nobody leads any more. Never fails. */
    public Future<Boolean> removePredecessorKey(Function<String, Future<Boolean>> leadingQuery) {
        return election.clearPredecessorKey(leadingQuery);
    }

    /**
     * Completes when somebody has begun to lead, or at {@code deadline}. Guards against a listener that is open too early: where all nodes
     * have ended, hundreds of workers look for a leader at each node as soon as it listens, and the three nodes of 450 machines began to
     * lead only 2.9 to 3.3 s after that.
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

    /** Starts to campaign, to raise the data format and to warm up. */
    public void start() {
        election.start();
        formatGate.start();
        warmUp.start();
    }

    /** Ends the term, if this node leads, without removing the leadership key: its lease expires. */
    public void stop() {
        election.stop();
        formatGate.stop();
        warmUp.cancel();
        if (term != null) {
            term.close();
            term = null;
        }
    }

    /** Identifies the current leadership: differs between any two, as far as this node has observed them. */
    Object currentLeadership() {
        return election.leadershipRevision();
    }

    /** Gives leadership up where this node alone is without the state service; null if it does not lead. */
    Revision resign() {
        return election.handOver(UNREACHABLE_FROM_THIS_NODE_ONLY);
    }

    /** Removes the key of a leader that has stepped aside. */
    Future<Void> removeKey(Revision leadershipRevision) {
        return election.removeKey(leadershipRevision);
    }

    /**
     * Processes a worker's heartbeat, if this node may act as the leader at this moment. Otherwise it is not even decoded: after
     * the end of a leader every machine tries every node, and a node that has just started is slow.
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
        // Checked as the response is written: the leadership may have ended while a record was being written.
        if (requestedTerm == term && mayRespond() && requestedTerm.mayRespondTo(heartbeat.machine())) {
            return new HeartbeatResponse(true, requestedTerm.token(), result.commands(), null);
        }
        return HeartbeatResponse.redirect(redirectTarget());
    }

    private boolean mayRespond() {
        return term != null && election.isValid() && term.knowsRecentCancellations();
    }

    /** Neither the state service nor another node answers this one: what it knows of who leads is out of date. */
    void setIsolated(boolean isolated) {
        this.isolated = isolated;
    }

    /** Who else leads, for a worker to go to; null if that is not known, as a wrong name costs the worker more than none. */
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
