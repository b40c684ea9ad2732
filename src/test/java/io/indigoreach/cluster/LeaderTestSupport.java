package io.indigoreach.cluster;

import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.core.scheduling.SchedulerListener;
import io.indigoreach.core.scheduling.ServiceLevelObjectives;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Shared set-up for tests of a leader's tasks: configuration, context, scheduler core and leadership key. */
final class LeaderTestSupport {
    static final Team TEAM = new Team("t", 0, 0, 0, 0);
    private static final long TIMEOUT_S = 20;

    /** A listener that ignores all events. */
    private static final SchedulerListener NO_OP_LISTENER = new SchedulerListener() {
        @Override
        public void onTaskCompleted(Job job) {}

        @Override
        public void log(String line) {}
    };

    private LeaderTestSupport() {}

    /** The configuration of a small node. */
    static PlatformConfig config() throws Exception {
        return config("");
    }

    /** The configuration of a small node, with announced future limits of the state service. */
    static PlatformConfig config(String announcedLimits) throws Exception {
        return PlatformConfig.parse("test", """
                node = "a"
                domain = "z"
                serve_on = "127.0.0.1:0"
                cluster_listen = "127.0.0.1:0"
                [endpoints]
                cloud = "127.0.0.1:1"
                state = "127.0.0.1:1"
                [settings]
                zones = ["z"]
                [[settings.teams]]
                name = "t"
                [settings.workers]
                report_s = 2.0
                lease_s = 12.0
                cancel_s = 32.0
                [settings.state]
                rps = 100.0
                write_rps = 20.0
                value_kb = 8.0
                txn_ops = 12
                [settings.cloud]
                rps = 4.0
                [settings.state.next]
                """ + announcedLimits);
    }

    /** A builder for the context of a small node; the caller adds further components. */
    static NodeContext.Builder context(Vertx vertx, SteadyClock clock, StateClient client) throws Exception {
        return NodeContext.builder()
                .vertx(vertx)
                .clock(clock)
                .state(client)
                .config(config())
                .settings(Settings.defaults())
                .lease(Span.seconds(10));
    }

    /** Creates a scheduler core without machine types. */
    static SchedulerCore core(NodeContext context, long token, List<Team> teams) {
        return new SchedulerCore(
                new FencingToken(token),
                context.config().safetyTimes(),
                context.settings().schedulerSettings(),
                new ServiceLevelObjectives(List.of()),
                teams,
                NO_OP_LISTENER);
    }

    /** Creates a scheduler core that has finished loading, without any records. */
    static SchedulerCore loadedCore(NodeContext context, long token, MachineType type) {
        SchedulerCore core = core(context, token, List.of(TEAM));
        core.addMachineTypes(List.of(type));
        core.onRecordsLoaded();
        return core;
    }

    /** The only machine type in these tests. */
    static MachineType quadCoreType() {
        return new MachineType("quad", new Resources(4, 0, 16), 40, 1, 1, 1, Span.seconds(20), List.of("a"));
    }

    /** Writes the leadership key; the result is its revision. */
    static Revision gainLeadership(StateClient client, long token) throws Exception {
        return await(client.commit(new StateClient.Txn().put(RecordKeys.LEADER, MessagePackFormat.map("t", token))))
                .writtenRevision();
    }

    /** The write context of a leader, with a deposition listener that does nothing. */
    static LeaderWriteContext writes(NodeContext context, long token, Revision revision, double writesPerS) {
        return writes(context, token, revision, writesPerS, () -> {});
    }

    static LeaderWriteContext writes(
            NodeContext context,
            long token,
            Revision revision,
            double writesPerS,
            LeaderWriteContext.LeadershipLostListener listener) {
        RateLimiter limiter = new RateLimiter(writesPerS, context.clock().now());
        return new LeaderWriteContext(context, new FencingToken(token), revision, limiter, listener);
    }

    /** An array job with the given image. */
    static JobSpec spec(JobId id, int tasks, String image) {
        return JobSpec.builder(id)
                .jobClass("c")
                .team("t")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.STANDARD)
                .taskCount(tasks)
                .demand(new Resources(1, 0, 1))
                .image(image)
                .imageGb(0)
                .spotAllowed()
                .estimatedRunTime(Span.seconds(10))
                .build();
    }

    static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
    }
}
