package io.indigoreach.experiment;

import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.scenario.Fault;
import io.indigoreach.state.LeaderKey;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Brings about a {@link Fault.Kind#KILL_LEADERS}: each controller that takes the leadership is killed after about the fault's delay, and
 * started again. Finds the leaders by the state service's own protocol.
 */
final class LeaderKiller {
    private static final Span POLL = Span.seconds(0.1);
    private static final Span DOWN_FOR = Span.seconds(1);

    private final Vertx vertx;
    private final ServiceClient connection;
    private final StateClient state;
    private final Fault fault;
    private final RandomGenerator random;
    private final Consumer<String> kill;
    private final Consumer<String> start;
    private Revision lastSeen = Revision.ABSENT;
    /** Nodes that are about to be killed, or to be started again. */
    private final Set<String> condemned = new HashSet<>();

    private boolean ended;

    /**
     * @param connection to the state service; closed at the end
     * @param kill ends the process of the named node
     * @param start starts the named node again
     */
    LeaderKiller(
            Vertx vertx,
            ServiceClient connection,
            Fault fault,
            RandomGenerator random,
            Consumer<String> kill,
            Consumer<String> start) {
        this.vertx = vertx;
        this.connection = connection;
        this.state = new StateClient(connection, null);
        this.fault = fault;
        this.random = random;
        this.kill = kill;
        this.start = start;
    }

    /** Begins; the leader of this moment is spared for as long as any other. */
    void begin() {
        vertx.setTimer(Math.max(1, Span.seconds(fault.forS()).ms()), timer -> end());
        poll();
    }

    private void end() {
        ended = true;
        connection.close();
    }

    private void poll() {
        if (ended) {
            return;
        }
        state.get(RecordKeys.LEADER)
                .otherwiseEmpty()
                .onSuccess(this::seen)
                .onComplete(done -> vertx.setTimer(POLL.ms(), timer -> poll()));
    }

    private void seen(StateClient.Entry key) {
        if (ended || key == null || key.revision().equals(lastSeen)) {
            return;
        }
        lastSeen = key.revision();
        String leader = LeaderKey.read(key.value(), key.revision()).node();
        if (condemned.add(leader)) {
            Span leads = Span.seconds(fault.delayS() * (0.5 + random.nextDouble()));
            vertx.setTimer(Math.max(1, leads.ms()), timer -> killAndRestart(leader));
        }
    }

    private void killAndRestart(String leader) {
        kill.accept(leader);
        vertx.setTimer(DOWN_FOR.ms(), timer -> {
            start.accept(leader);
            condemned.remove(leader);
        });
    }
}
