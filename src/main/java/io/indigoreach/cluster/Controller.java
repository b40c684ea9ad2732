package io.indigoreach.cluster;

import io.indigoreach.config.PlatformConfig;
import io.indigoreach.core.JobId;
import io.indigoreach.core.Moment;
import io.indigoreach.core.Order;
import io.indigoreach.core.Span;
import io.indigoreach.core.Stamp;
import io.indigoreach.core.Token;
import io.indigoreach.core.TokenClock;
import io.indigoreach.core.WorkerReport;
import io.indigoreach.core.loss.LeaderMemory;
import io.indigoreach.core.loss.Remains;
import io.indigoreach.net.Caller;
import io.indigoreach.state.FormatGate;
import io.indigoreach.state.Leadership;
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
public final class Controller implements Leadership.Listener {
    /** The answer to a worker: orders under a token, or where to go. */
    public record Answer(boolean accepted, Token token, List<Order> orders, String leader) {
        static Answer elsewhere(String leader) {
            return new Answer(false, null, List.of(), leader);
        }
    }

    private final Reign.Surroundings env;
    private final Leadership leadership;
    private final FormatGate formats;
    private Supplier<Future<Remains>> jobs = () -> Future.succeededFuture(new Remains());
    private final WarmUp warmUp;
    private Reign reign;
    private boolean cutOff;
    private final LeaderMemory memory = new LeaderMemory();

    /** {@code own}: an event loop for what must not wait for anything else. */
    Controller(Reign.Surroundings env, Vertx own) {
        this.env = env;
        this.warmUp = new WarmUp(env, () -> reign != null);
        String process = Long.toHexString(ThreadLocalRandom.current().nextLong()) + "-"
                + env.clock().timeOfDay();
        PlatformConfig config = env.config();
        List<String> nodes = Stream.concat(
                        Stream.of(config.node()), config.peers().stream().map(PlatformConfig.Peer::node))
                .sorted()
                .toList();
        StateClient renewals = new StateClient(new Caller(own, config.state(), 2), null);
        TokenClock tokens =
                new TokenClock(nodes.indexOf(config.node()), env.clock().timeOfDay(), config.clockOff());
        this.leadership = new Leadership(
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
    void remembering(Supplier<Future<Remains>> jobs) {
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
    Remains remains(JobId id) {
        if (reign != null) {
            return reign.remains(id);
        }
        Remains remains = new Remains();
        if (memory.known().over().containsKey(id)) {
            remains.add(id, memory.known().over().get(id));
        }
        return remains;
    }

    private Future<Remains> gather() {
        Remains all = new Remains();
        all.add(memory.known());
        return jobs.get().map(others -> {
            all.add(others);
            return all;
        });
    }

    /** How to ask every other node for its pledge not to lead, and whether it does not lead now. */
    void asking(Function<Span, Future<Pledges>> others, Supplier<Future<Boolean>> unled) {
        leadership.asking(
                () -> {
                    Moment sent = env.clock().now();
                    Reign asking = reign;
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

    private Future<Void> settled(Stamp left, Moment until) {
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
    Stamp standAside() {
        return leadership.standAside("the state service serves others but not this node");
    }

    /** Removes the key of a leader that has stood aside. */
    Future<Void> release(Stamp key) {
        return leadership.release(key);
    }

    /**
     * Takes a worker's report, if this node may act for the controllers at this moment. Else it is not even read: after a
     * leader's end every machine asks every node, and a node that has just started is slow.
     */
    public Future<Answer> onReport(Supplier<WorkerReport> report) {
        if (!mayAnswer()) {
            return Future.succeededFuture(Answer.elsewhere(otherLeader()));
        }
        Reign asked = reign;
        WorkerReport read = report.get();
        leadership.seen(read.token());
        return asked.onReport(read).map(orders -> {
            if (orders == null) {
                leadership.deposed();
                return Answer.elsewhere(null);
            }
            // Checked as the answer is written: the leadership may have ended while a record was waited for.
            return asked == reign && mayAnswer() && asked.answers(read.machine())
                    ? new Answer(true, asked.token(), orders, null)
                    : Answer.elsewhere(otherLeader());
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
    public void took(Token token, Stamp key, boolean bounds) {
        memory.begins(leadership.succeedsItself());
        reign = new Reign(env, token, key, leadership, bounds, this::gather);
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
