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

/**
 * A controller node: creates its components, and starts and stops them. Not safe for use from several threads; created and
 * used on the event loop of the given {@link Vertx}.
 */
public final class Node {
    /** Part of the state service's requests that all nodes together spend on users' queries. */
    private static final double QUERY_SHARE = 0.5;

    /** The longest that a node which starts while nobody leads waits for a leader before it opens its listener. */
    private static final Span LEADER_WAIT = Span.seconds(3);

    private static final int STATE_CONNECTIONS = 12;
    private static final int STATE_WATCH_CONNECTIONS = 3;
    private static final int CLOUD_CONNECTIONS = 3;

    /** The event loop of the lease's renewals. */
    private final Vertx renewalLoop = EventLoops.vertx();

    private final SteadyClock clock = new SteadyClock();
    private final EventLoopMonitor loopMonitor;
    private final Catalogue catalogue;
    private final Controller controller;
    private final PeerClient peerClient;
    private final ConnectivityCheck connectivity;
    private final PeerServer peerServer;
    private final HttpApi httpApi;

    /** A node with the optional features that the settings enable. */
    public Node(Vertx vertx, PlatformConfig config, Settings settings) throws ConfigException {
        this(vertx, config, settings, PartRegistry.enabled(settings));
    }

    /** A node with the given optional features. */
    public Node(Vertx vertx, PlatformConfig config, Settings settings, List<Parts.Definition> kinds)
            throws ConfigException {
        this.loopMonitor = new EventLoopMonitor(vertx, clock);
        StateClient state = new StateClient(
                new ServiceClient(vertx, config.state(), STATE_CONNECTIONS),
                new ServiceClient(vertx, config.state(), STATE_WATCH_CONNECTIONS));
        CloudClient cloud = new CloudClient(new ServiceClient(vertx, config.cloud(), CLOUD_CONNECTIONS));
        this.catalogue = new Catalogue(vertx, state, cloud);
        JobRepairer repairer = new JobRepairer(state, clock, config.stateLimits());
        Parts parts = Parts.of(kinds, vertx, state, clock, catalogue, config, settings);
        NodeContext context = NodeContext.builder()
                .vertx(vertx)
                .clock(clock)
                .loopMonitor(loopMonitor)
                .state(state)
                .cloud(cloud)
                .catalogue(catalogue)
                .config(config)
                .settings(settings)
                .lease(settings.leaderLease(config.safetyTimes()))
                .parts(parts)
                .repairer(repairer)
                .build();
        this.controller = new Controller(context, renewalLoop);
        JobService jobService = jobService(context);
        LocalMemory memory = new LocalMemory(jobService, controller, parts.recordCache());
        this.peerClient = new PeerClient(vertx, clock, config.peers(), memory);
        this.connectivity = new ConnectivityCheck(context, controller, peerClient);
        this.peerServer = new PeerServer(context, controller, memory, connectivity);
        connect(context, jobService);
        this.httpApi = httpApi(context, jobService);
    }

    private static JobService jobService(NodeContext context) {
        PlatformConfig config = context.config();
        int nodes = config.peers().size() + 1;
        return new JobService(new JobService.Context(
                context.vertx(),
                context.state(),
                context.repairer(),
                context.catalogue(),
                config.teams(),
                context.clock(),
                config.stateLimits().valueBytes(),
                config.stateLimits().requestsPerS() * QUERY_SHARE / nodes));
    }

    private HttpApi httpApi(NodeContext context, JobService jobService) {
        return new HttpApi(new HttpApi.Context(
                context.vertx(),
                context.config().listen(),
                jobService,
                new HeartbeatEndpoint(controller),
                () -> catalogue.isKnown() && !connectivity.isOutOfService(),
                context.parts().resources()));
    }

    /** Gives the components what they need of each other, where they could not get it when they were created. */
    private void connect(NodeContext context, JobService jobService) {
        controller.setRememberedStateSource(peerClient::rememberedState);
        controller.setPeers(peerClient::requestPledges, peerClient::noPeerLeads);
        context.repairer().recallFrom(peerClient::rememberedState);
        jobService.setCascadeTime(context.config().safetyTimes().cancellationTime(), controller::currentLeadership);
        jobService.setDependencySupportCheck(() -> controller.formatGate().isOpen());
        jobService.setParticipants(context.parts().submissionParticipants());
        context.parts().all().forEach(part -> part.setJobSubmitter(jobService::submit));
        jobService.setPeerQuery(peerClient::isKnownToAny);
        context.state().onLoss(controller::onStateLoss);
    }

    /** Starts serving; the result is the port of the HTTP API. */
    public Future<Integer> start() {
        return controller.clearPredecessor(peerClient::leads).compose(this::start);
    }

    private Future<Integer> start(boolean leaderless) {
        if (leaderless) {
            startControlling();
            return controller.leaderKnown(clock.now().plus(LEADER_WAIT)).compose(leader -> httpApi.open());
        }
        return httpApi.open().map(port -> {
            startControlling();
            return port;
        });
    }

    /** Starts what answers the other nodes and takes part in the election. */
    private void startControlling() {
        catalogue.start();
        controller.start();
        peerServer.start();
        connectivity.start();
    }

    /** Stops what was started; the result completes when all connections are closed. */
    public Future<Void> stop() {
        catalogue.stop();
        controller.stop();
        loopMonitor.close();
        connectivity.stop();
        return peerServer.stop().eventually(httpApi::close).eventually(renewalLoop::close);
    }
}
