package io.indigoreach.cluster;

import io.indigoreach.api.HttpApi;
import io.indigoreach.api.JobService;
import io.indigoreach.cloud.Catalogue;
import io.indigoreach.cloud.CloudClient;
import io.indigoreach.config.ConfigException;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.EventLoopMonitor;
import io.indigoreach.net.EventLoops;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.parts.Parts;
import io.indigoreach.state.JobRepairer;
import io.indigoreach.state.StateClient;
import io.indigoreach.worker.HeartbeatEndpoint;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;

/** Puts a controller node together from its parts. */
public final class Node {
    /** Part of the state service's requests that all nodes together spend on users' questions. */
    private static final double QUESTIONS = 0.5;

    /** The longest that a node which starts while nobody leads does not listen, until it is known who does. */
    private static final Span UNHEARD = Span.seconds(3);

    private final Vertx own = EventLoops.vertx();
    private final SteadyClock clock = new SteadyClock();
    private final EventLoopMonitor pulse;
    private final Catalogue catalogue;
    private final Controller controller;
    private final PeerProtocol standing;
    private final HttpApi door;

    public Node(Vertx vertx, PlatformConfig config, Settings settings) throws ConfigException {
        this(vertx, config, settings, PartRegistry.switchedOn(settings));
    }

    /** With these parts beside the jobs. */
    public Node(Vertx vertx, PlatformConfig config, Settings settings, List<Parts.Kind> kinds) throws ConfigException {
        this.pulse = new EventLoopMonitor(vertx, clock);
        StateClient state = new StateClient(
                new ServiceClient(vertx, config.state(), 12), new ServiceClient(vertx, config.state(), 3));
        CloudClient cloud = new CloudClient(new ServiceClient(vertx, config.cloud(), 3));
        this.catalogue = new Catalogue(vertx, state, cloud);
        JobRepairer repairer = new JobRepairer(state, clock, config.stateLimits());
        Parts parts = Parts.of(kinds, vertx, state, clock, catalogue, config, settings);
        this.controller = new Controller(
                new LeadershipTerm.Context(
                        vertx,
                        clock,
                        pulse,
                        state,
                        cloud,
                        catalogue,
                        config,
                        settings,
                        settings.leaderLease(config.rules()),
                        parts,
                        repairer),
                own);
        JobService jobService = new JobService(new JobService.Context(
                vertx,
                state,
                repairer,
                catalogue,
                config.teams(),
                clock,
                config.stateLimits().valueBytes(),
                config.stateLimits().requestsPerS()
                        * QUESTIONS
                        / (config.peers().size() + 1)));
        this.standing = new PeerProtocol(vertx, clock, pulse, state, config, controller, jobService, parts.copies());
        controller.recallBy(standing::gather);
        controller.askPeersBy(standing::pledges, standing::othersDoNotLead);
        repairer.recallBy(standing::recall);
        jobService.setCascadeTime(config.rules().cancellationTime(), controller::election);
        jobService.setDependencySupportCheck(() -> controller.formatGate().isOpen());
        jobService.setParticipants(parts.joinings());
        parts.all().forEach(p -> p.submitting(jobService::submit));
        jobService.setPeerQuery(standing::isKnownToAny);
        state.onLoss(controller::onStateLoss);
        this.door = new HttpApi(new HttpApi.Context(
                vertx,
                config.listen(),
                jobService,
                new HeartbeatEndpoint(controller),
                () -> catalogue.isKnown() && !standing.isOutOfService(),
                parts.resources()));
    }

    /** Starts serving; the result is the port. */
    public Future<Integer> start() {
        return controller.clearPredecessor(standing::leads).compose(leaderless -> {
            if (!leaderless) {
                return door.open().map(port -> {
                    lead();
                    return port;
                });
            }
            lead();
            return controller.leaderKnown(clock.now().plus(UNHEARD)).compose(v -> door.open());
        });
    }

    private void lead() {
        catalogue.start();
        controller.start();
        standing.start();
    }

    public Future<Void> stop() {
        catalogue.stop();
        controller.stop();
        pulse.close();
        return standing.stop().eventually(door::close).eventually(own::close);
    }
}
