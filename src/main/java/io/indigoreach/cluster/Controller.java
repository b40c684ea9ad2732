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
import io.indigoreach.net.ServiceClient;
import io.indigoreach.state.FormatGate;
import io.indigoreach.state.LeaderElection;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;

/** This node's part among the controllers: it leads, or knows who does. */
public final class Controller implements LeaderElection.Listener {
    /** The answer to a worker: orders under a token, or where to go. */
    public record HeartbeatResponse(boolean accepted, FencingToken token, List<WorkerCommand> orders, String leader) {
        static HeartbeatResponse elsewhere(String leader) {
            return new HeartbeatResponse(false, null, List.of(), leader);
        }
    }

    private final LeadershipTerm.Context context;
    private final LeaderElection election;
    private final FormatGate formatGate;
    private Supplier<Future<RememberedState>> gatherPeerState = () -> Future.succeededFuture(new RememberedState());
    private final WarmUp warmUp;
    private LeadershipTerm term;
    private boolean cutOff;
    private final LeaderMemory ownMemory = new LeaderMemory();

    /** {@code own}: an event loop for what must not wait for anything else. */
    Controller(LeadershipTerm.Context context, Vertx own) {
        this.context = context;
        this.warmUp = new WarmUp(context, () -> term != null);
        String process = Long.toHexString(ThreadLocalRandom.current().nextLong()) + "-"
                + context.clock().timeOfDay();
        PlatformConfig config = context.config();
        List<String> nodes = Stream.concat(
                        Stream.of(config.node()), config.peers().stream().map(PlatformConfig.Peer::node))
                .sorted()
                .toList();
        StateClient renewals = new StateClient(new ServiceClient(own, config.state(), 2), null);
        TokenGenerator tokens =
                new TokenGenerator(nodes.indexOf(config.node()), context.clock().timeOfDay(), config.maxClockError());
        this.election = new LeaderElection(
                context.vertx(),
                context.state(),
                own,
                renewals,
                context.clock(),
                config.node(),
                process,
                config.peers().size(),
                context.lease(),
                tokens,
                this);
        this.formatGate =
                new FormatGate(context.vertx(), context.state(), context.clock(), election, config.node(), nodes);
    }

    /** Where to ask for what the controllers remember of jobs, besides what this node knew as a leader. */
    void recallBy(Supplier<Future<RememberedState>> jobs) {
        this.gatherPeerState = jobs;
    }

    /** The state service has lost data: who leads keeps what it knows, and takes the key anew to rebuild from it. */
    void onStateLoss() {
        election.deposed();
    }

    /** Whether this node leads and has the job open. */
    boolean hasOpen(JobId id) {
        return term != null && term.hasOpen(id);
    }

    /** What this node knows of one job as the leader, or as the last thing it knew of its end. */
    RememberedState rememberedState(JobId id) {
        if (term != null) {
            return term.rememberedState(id);
        }
        RememberedState rememberedState = new RememberedState();
        if (ownMemory.known().over().containsKey(id)) {
            rememberedState.add(id, ownMemory.known().over().get(id));
        }
        return rememberedState;
    }

    private Future<RememberedState> gatherRememberedState() {
        RememberedState all = new RememberedState();
        all.add(ownMemory.known());
        return gatherPeerState.get().map(others -> {
            all.add(others);
            return all;
        });
    }

    /** How to ask every other node for its pledge not to lead, and whether it does not lead now. */
    void askPeersBy(Function<Span, Future<PeerPromises>> others, Supplier<Future<Boolean>> unled) {
        election.askPeersBy(
                () -> {
                    Moment sent = context.clock().now();
                    LeadershipTerm asking = term;
                    return others.apply(asking == null ? Span.ZERO : asking.cancellationLookBack())
                            .map(pledges -> {
                                if (asking != null && asking == term) {
                                    asking.onPeerCancellations(pledges.word(), sent);
                                }
                                return pledges.all();
                            });
                },
                unled);
    }

    /** Whether every node knows this version's data format. */
    FormatGate formatGate() {
        return formatGate;
    }

    boolean leads() {
        return election.isLeading();
    }

    boolean pledge() {
        return election.pledge();
    }

    /** Removes what a predecessor of this process left behind; true if nobody leads any more. Never fails. */
    public Future<Boolean> clearPredecessor(Function<String, Future<Boolean>> leads) {
        return election.clearPredecessor(leads);
    }

    /**
     * Somebody has begun to lead, or it has taken too long. Where all nodes have ended, hundreds of workers look for a leader at
     * each as soon as it listens: the three nodes of 450 machines came to take the leadership only 2.9 to 3.3 s after that.
     */
    Future<Void> leaderKnown(Moment until) {
        return leaderKnown(election.leadershipRevision(), until);
    }

    private Future<Void> leaderKnown(Revision left, Moment until) {
        boolean begun =
                election.leader() != null && !election.leadershipRevision().equals(left);
        return election.isLeading() || begun || !context.clock().now().isBefore(until)
                ? Future.succeededFuture()
                : context.vertx().timer(50, TimeUnit.MILLISECONDS).compose(t -> leaderKnown(left, until));
    }

    public void start() {
        election.start();
        formatGate.start();
        warmUp.start();
    }

    public void stop() {
        election.stop();
        formatGate.stop();
        warmUp.cancel();
        if (term != null) {
            term.close();
            term = null;
        }
    }

    /** What differs between any two leaderships, as far as this node has heard of them. */
    Object election() {
        return election.leadershipRevision();
    }

    /** Gives leadership up where this node alone is without the state service; null if it does not lead. */
    Revision stepAside() {
        return election.stepAside("the state service serves others but not this node");
    }

    /** Removes the key of a leader that has stood aside. */
    Future<Void> removeKey(Revision key) {
        return election.removeKey(key);
    }

    /**
     * Takes a worker's report, if this node may act for the controllers at this moment. Else it is not even read: after a
     * leader's end every machine asks every node, and a node that has just started is slow.
     */
    public Future<HeartbeatResponse> onHeartbeat(Supplier<Heartbeat> report) {
        if (!mayAnswer()) {
            return Future.succeededFuture(HeartbeatResponse.elsewhere(otherLeader()));
        }
        LeadershipTerm asked = term;
        Heartbeat read = report.get();
        election.tokenSeen(read.token());
        return asked.onHeartbeat(read).map(orders -> {
            if (orders == null) {
                election.deposed();
                return HeartbeatResponse.elsewhere(null);
            }
            // Checked as the answer is written: the leadership may have ended while a record was waited for.
            return asked == term && mayAnswer() && asked.mayAnswer(read.machine())
                    ? new HeartbeatResponse(true, asked.token(), orders, null)
                    : HeartbeatResponse.elsewhere(otherLeader());
        });
    }

    private boolean mayAnswer() {
        return term != null && election.isValid() && term.isInformedOfCancellations();
    }

    /** Neither the state service nor another node answers this one: what it knows of who leads is old. */
    void setCutOff(boolean is) {
        cutOff = is;
    }

    /** Who else leads, for a worker to go to; null if that is not known, as a wrong name costs it more than none. */
    private String otherLeader() {
        String leader = election.leader();
        return cutOff || context.config().node().equals(leader) ? null : leader;
    }

    @Override
    public void leadershipGained(FencingToken token, Revision key, boolean bounds) {
        ownMemory.begins(election.succeedsItself());
        term = new LeadershipTerm(context, token, key, election, bounds, this::gatherRememberedState);
        term.start();
    }

    @Override
    public void leadershipLost(String reason) {
        if (term != null) {
            ownMemory.ends(term.rememberedState());
            term.close();
            term = null;
        }
    }
}
