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

    private final LeadershipTerm.Context env;
    private final LeaderElection leadership;
    private final FormatGate formats;
    private Supplier<Future<RememberedState>> jobs = () -> Future.succeededFuture(new RememberedState());
    private final WarmUp warmUp;
    private LeadershipTerm reign;
    private boolean cutOff;
    private final LeaderMemory memory = new LeaderMemory();

    /** {@code own}: an event loop for what must not wait for anything else. */
    Controller(LeadershipTerm.Context env, Vertx own) {
        this.env = env;
        this.warmUp = new WarmUp(env, () -> reign != null);
        String process = Long.toHexString(ThreadLocalRandom.current().nextLong()) + "-"
                + env.clock().timeOfDay();
        PlatformConfig config = env.config();
        List<String> nodes = Stream.concat(
                        Stream.of(config.node()), config.peers().stream().map(PlatformConfig.Peer::node))
                .sorted()
                .toList();
        StateClient renewals = new StateClient(new ServiceClient(own, config.state(), 2), null);
        TokenGenerator tokens =
                new TokenGenerator(nodes.indexOf(config.node()), env.clock().timeOfDay(), config.clockOff());
        this.leadership = new LeaderElection(
                env.vertx(),
                env.state(),
                own,
                renewals,
                env.clock(),
                config.node(),
                process,
                config.peers().size(),
                env.lease(),
                tokens,
                this);
        this.formats = new FormatGate(env.vertx(), env.state(), env.clock(), leadership, config.node(), nodes);
    }

    /** Where to ask for what the controllers remember of jobs, besides what this node knew as a leader. */
    void remembering(Supplier<Future<RememberedState>> jobs) {
        this.jobs = jobs;
    }

    /** The state service has lost data: who leads keeps what it knows, and takes the key anew to rebuild from it. */
    void onLoss() {
        leadership.deposed();
    }

    /** Whether this node leads and has the job open. */
    boolean knows(JobId id) {
        return reign != null && reign.knows(id);
    }

    /** What this node knows of one job as the leader, or as the last thing it knew of its end. */
    RememberedState remains(JobId id) {
        if (reign != null) {
            return reign.remains(id);
        }
        RememberedState remains = new RememberedState();
        if (memory.known().over().containsKey(id)) {
            remains.add(id, memory.known().over().get(id));
        }
        return remains;
    }

    private Future<RememberedState> gather() {
        RememberedState all = new RememberedState();
        all.add(memory.known());
        return jobs.get().map(others -> {
            all.add(others);
            return all;
        });
    }

    /** How to ask every other node for its pledge not to lead, and whether it does not lead now. */
    void asking(Function<Span, Future<PeerPromises>> others, Supplier<Future<Boolean>> unled) {
        leadership.asking(
                () -> {
                    Moment sent = env.clock().now();
                    LeadershipTerm asking = reign;
                    return others.apply(asking == null ? Span.ZERO : asking.unheard())
                            .map(pledges -> {
                                if (asking != null && asking == reign) {
                                    asking.told(pledges.word(), sent);
                                }
                                return pledges.all();
                            });
                },
                unled);
    }

    /** Whether every node knows this version's data format. */
    FormatGate formats() {
        return formats;
    }

    boolean leads() {
        return leadership.isLeading();
    }

    boolean pledge() {
        return leadership.pledge();
    }

    /** Removes what a predecessor of this process left behind; true if nobody leads any more. Never fails. */
    public Future<Boolean> clear(Function<String, Future<Boolean>> leads) {
        return leadership.clear(leads);
    }

    /**
     * Somebody has begun to lead, or it has taken too long. Where all nodes have ended, hundreds of workers look for a leader at
     * each as soon as it listens: the three nodes of 450 machines came to take the leadership only 2.9 to 3.3 s after that.
     */
    Future<Void> settled(Moment until) {
        return settled(leadership.key(), until);
    }

    private Future<Void> settled(Revision left, Moment until) {
        boolean begun = leadership.leader() != null && !leadership.key().equals(left);
        return leadership.isLeading() || begun || !env.clock().now().isBefore(until)
                ? Future.succeededFuture()
                : env.vertx().timer(50, TimeUnit.MILLISECONDS).compose(t -> settled(left, until));
    }

    public void start() {
        leadership.start();
        formats.start();
        warmUp.start();
    }

    public void stop() {
        leadership.stop();
        formats.stop();
        warmUp.cancel();
        if (reign != null) {
            reign.close();
            reign = null;
        }
    }

    /** What differs between any two leaderships, as far as this node has heard of them. */
    Object leadership() {
        return leadership.key();
    }

    /** Gives leadership up where this node alone is without the state service; null if it does not lead. */
    Revision standAside() {
        return leadership.standAside("the state service serves others but not this node");
    }

    /** Removes the key of a leader that has stood aside. */
    Future<Void> release(Revision key) {
        return leadership.release(key);
    }

    /**
     * Takes a worker's report, if this node may act for the controllers at this moment. Else it is not even read: after a
     * leader's end every machine asks every node, and a node that has just started is slow.
     */
    public Future<HeartbeatResponse> onReport(Supplier<Heartbeat> report) {
        if (!mayAnswer()) {
            return Future.succeededFuture(HeartbeatResponse.elsewhere(otherLeader()));
        }
        LeadershipTerm asked = reign;
        Heartbeat read = report.get();
        leadership.seen(read.token());
        return asked.onReport(read).map(orders -> {
            if (orders == null) {
                leadership.deposed();
                return HeartbeatResponse.elsewhere(null);
            }
            // Checked as the answer is written: the leadership may have ended while a record was waited for.
            return asked == reign && mayAnswer() && asked.answers(read.machine())
                    ? new HeartbeatResponse(true, asked.token(), orders, null)
                    : HeartbeatResponse.elsewhere(otherLeader());
        });
    }

    private boolean mayAnswer() {
        return reign != null && leadership.isValid() && reign.hearsCancellations();
    }

    /** Neither the state service nor another node answers this one: what it knows of who leads is old. */
    void isCutOff(boolean is) {
        cutOff = is;
    }

    /** Who else leads, for a worker to go to; null if that is not known, as a wrong name costs it more than none. */
    private String otherLeader() {
        String leader = leadership.leader();
        return cutOff || env.config().node().equals(leader) ? null : leader;
    }

    @Override
    public void took(FencingToken token, Revision key, boolean bounds) {
        memory.begins(leadership.succeedsItself());
        reign = new LeadershipTerm(env, token, key, leadership, bounds, this::gather);
        reign.start();
    }

    @Override
    public void lost(String reason) {
        if (reign != null) {
            memory.ends(reign.remains());
            reign.close();
            reign = null;
        }
    }
}
