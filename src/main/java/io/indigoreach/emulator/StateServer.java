package io.indigoreach.emulator;

import io.indigoreach.checker.Event;
import io.indigoreach.checker.History;
import io.indigoreach.config.PlatformConfig.StateLimits;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.emulator.model.Gate;
import io.indigoreach.emulator.model.StateModel;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.StateClient.Txn;
import io.indigoreach.state.StateCodec;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** The state service on sockets: a listener for each node, so that each can fare differently. */
public final class StateServer {
    public static final String PARTY = "state";
    private static final long TICK_MS = 10;

    private final Vertx vertx;
    private final SteadyClock clock;
    private final Gate gate;
    private final History history;
    private final StateModel model;
    private final Durability durability;
    private final List<GatedListener> listeners = new ArrayList<>();
    private final long ticks;
    private boolean out;

    /**
     * To be made on the event loop that is to serve.
     *
     * @param data the directory in which the contents are kept, or null to keep them in memory only
     * @param broken told if they cannot be kept any more: the service must end then
     */
    public StateServer(
            Vertx vertx,
            SteadyClock clock,
            StateLimits limits,
            Gate gate,
            RandomGenerator random,
            History history,
            Path data,
            Consumer<Throwable> broken)
            throws IOException {
        this.vertx = vertx;
        this.clock = clock;
        this.gate = gate;
        this.history = history;
        Durability[] kept = {Durability.NONE};
        this.model = new StateModel(limits, random, clock.now(), change -> kept[0].keep(change));
        if (data != null) {
            Moment now = clock.now();
            DiskDurability disk = DiskDurability.open(vertx, data, change -> model.restore(change, now), broken);
            disk.serves(model);
            kept[0] = disk;
        }
        this.durability = kept[0];
        this.ticks = vertx.setPeriodic(TICK_MS, t -> tick());
    }

    /** Opens a listener for a node; the result is its port. */
    public Future<Integer> listen(String node, String host, int port) {
        GatedListener listener = new GatedListener(vertx, clock, gate, node, PARTY, this::serve);
        listeners.add(listener);
        return listener.listen(host, port);
    }

    public Future<Void> close() {
        vertx.cancelTimer(ticks);
        return Future.join(listeners.stream().map(GatedListener::close).toList())
                .<Void>mapEmpty()
                .eventually(() -> durability instanceof DiskDurability disk ? disk.close() : Future.succeededFuture());
    }

    /** Keys and revision, for people and tests. */
    public StateModel model() {
        return model;
    }

    private void tick() {
        Moment now = clock.now();
        boolean isOut = gate.heldUntil(now, "", PARTY).isAfter(now);
        if (isOut != out) {
            out = isOut;
            model.outage(now, isOut);
        }
        model.advance(now);
        durability.whenKept(() -> {});
    }

    private void serve(GatedListener.Request r, Consumer<ServiceResponse> reply) {
        Moment now = clock.now();
        String path = r.path();
        Consumer<ServiceResponse> kept = answer -> durability.whenKept(() -> reply.accept(answer));
        long asOf = r.behind() == 0 ? -1 : Math.max(0, model.revision() - r.behind());
        if (path.equals(StateCodec.TXN) && r.is(HttpMethod.POST)) {
            Txn txn = StateCodec.readTxn(r.body());
            ServiceResponse answer = model.commit(now, txn);
            if (answer.isOk() && txn.size() > 0) {
                history.add(new Event.Committed(now, r.caller(), txn, model.revision()));
            }
            kept.accept(answer);
        } else if (path.equals(StateCodec.STORE) && r.is(HttpMethod.GET)) {
            kept.accept(model.list(
                    now,
                    r.text(StateCodec.PREFIX),
                    r.text(StateCodec.SINCE),
                    (int) Math.min(Integer.MAX_VALUE, r.number(StateCodec.LIMIT, 1000)),
                    asOf));
        } else if (path.startsWith(StateCodec.STORE + "/") && r.is(HttpMethod.GET)) {
            kept.accept(model.get(now, path.substring(StateCodec.STORE.length() + 1), asOf));
        } else if (path.equals(StateCodec.WATCH) && r.is(HttpMethod.GET)) {
            StateModel.Watch watch = model.watch(
                    now,
                    r.text(StateCodec.PREFIX),
                    r.number(StateCodec.SINCE, -1),
                    new Span(r.number(StateCodec.WAIT, 0)),
                    kept);
            if (watch != null) {
                r.whenClosed(() -> model.giveUp(watch));
            }
        } else if (path.equals(StateCodec.LEASES) && r.is(HttpMethod.POST)) {
            kept.accept(model.grant(now, StateCodec.readLeaseTime(r.body())));
        } else if (path.startsWith(StateCodec.LEASES + "/")) {
            kept.accept(lease(r, now, path.substring(StateCodec.LEASES.length() + 1)));
        } else {
            reply.accept(new ServiceResponse(404, new Fields(MessagePackFormat.map("error", "no such path"))));
        }
    }

    private ServiceResponse lease(GatedListener.Request r, Moment now, String rest) {
        boolean renews = rest.endsWith(StateCodec.RENEW);
        long lease;
        try {
            lease = Long.parseLong(renews ? rest.substring(0, rest.length() - StateCodec.RENEW.length()) : rest);
        } catch (NumberFormatException e) {
            return new ServiceResponse(404, new Fields(MessagePackFormat.map("error", "no such path")));
        }
        return renews && r.is(HttpMethod.POST)
                ? model.renew(now, lease)
                : r.is(HttpMethod.DELETE)
                        ? model.drop(now, lease)
                        : new ServiceResponse(405, new Fields(MessagePackFormat.map("error", "method not allowed")));
    }
}
