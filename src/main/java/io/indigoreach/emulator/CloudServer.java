package io.indigoreach.emulator;

import io.indigoreach.cloud.CloudCodec;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.emulator.model.CloudModel;
import io.indigoreach.emulator.model.Gate;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.scenario.Deployment;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** The cloud on sockets: a listener for each node. What happens to its machines goes to {@code events}. */
public final class CloudServer {
    public static final String PARTY = "cloud";
    private static final long TICK_MS = 20;

    private final Vertx vertx;
    private final SteadyClock clock;
    private final Gate gate;
    private final CloudModel model;
    private final Consumer<CloudModel.Event> events;
    private final List<GatedListener> listeners = new ArrayList<>();
    private final long ticks;

    /** To be made on the event loop that is to serve; machine names go on after {@code names}. */
    public CloudServer(
            Vertx vertx,
            SteadyClock clock,
            Deployment deployment,
            Gate gate,
            RandomGenerator random,
            long names,
            Consumer<CloudModel.Event> events) {
        this.vertx = vertx;
        this.clock = clock;
        this.gate = gate;
        this.events = events;
        this.model = new CloudModel(deployment, random, clock.now(), names);
        this.ticks = vertx.setPeriodic(TICK_MS, t -> advance());
    }

    public CloudModel model() {
        return model;
    }

    /** Lets happen what is due, and tells of it. */
    void advance() {
        model.advance(clock.now());
        model.drain().forEach(events);
    }

    public Future<Integer> listen(String node, String host, int port) {
        GatedListener listener = new GatedListener(vertx, clock, gate, node, PARTY, this::serve);
        listeners.add(listener);
        return listener.listen(host, port);
    }

    public Future<Void> close() {
        vertx.cancelTimer(ticks);
        return Future.join(listeners.stream().map(GatedListener::close).toList())
                .mapEmpty();
    }

    private void serve(GatedListener.Request r, Consumer<ServiceResponse> reply) {
        Moment now = clock.now();
        boolean post = r.is(HttpMethod.POST);
        ServiceResponse answer;
        try {
            answer = switch (r.path()) {
                case CloudCodec.TYPES_PATH -> model.types(now);
                case CloudCodec.RETURN_PATH -> model.giveBack(now, CloudCodec.readMachineIds(r.body()));
                case CloudCodec.MACHINES_PATH ->
                    post
                            ? model.rent(now, CloudCodec.readRental(r.body()))
                            : model.list(
                                    now,
                                    r.text(CloudCodec.AFTER_PARAMETER) == null
                                            ? null
                                            : new MachineId(r.text(CloudCodec.AFTER_PARAMETER)),
                                    (int) r.number(CloudCodec.PAGE_SIZE_PARAMETER, 500));
                default -> new ServiceResponse(404, new Fields(MessagePackFormat.map("error", "no such path")));
            };
        } catch (IllegalArgumentException e) {
            answer = new ServiceResponse(400, new Fields(MessagePackFormat.map("error", e.getMessage())));
        }
        // A return is answered once the machines' workers are gone.
        advance();
        reply.accept(answer);
    }
}
