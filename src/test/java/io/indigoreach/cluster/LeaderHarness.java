package io.indigoreach.cluster;

import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineType;
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

/** What the tests of a leader's tasks have in common: settings, a context, a scheduler core, and the leadership of a node. */
final class LeaderHarness {
    static final Team TEAM = new Team("t", 0, 0, 0, 0);
    private static final long TIMEOUT_S = 20;

    /** A listener to whom nothing matters. */
    private static final SchedulerListener SILENT = new SchedulerListener() {
        @Override
        public void taskCompleted(Job job) {}

        @Override
        public void log(String line) {}
    };

    private LeaderHarness() {}

    /** The settings of a small node. */
    static PlatformConfig config() throws Exception {
        return config("");
    }

    /** The settings of a small node, with limits of the state service that are announced. */
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

    /** A context of a small node; the caller adds what else its subject needs. */
    static NodeContext.Builder context(Vertx vertx, SteadyClock clock, StateClient client) throws Exception {
        return NodeContext.builder()
                .vertx(vertx)
                .clock(clock)
                .state(client)
                .config(config())
                .settings(Settings.defaults())
                .lease(Span.seconds(10));
    }

    /** A scheduler core without any machine type. */
    static SchedulerCore core(NodeContext context, long token, List<Team> teams) {
        return new SchedulerCore(
                new FencingToken(token),
                context.config().safetyTimes(),
                context.settings().schedulerSettings(),
                new ServiceLevelObjectives(List.of()),
                teams,
                SILENT);
    }

    /** A scheduler core that has loaded its records: none. */
    static SchedulerCore loadedCore(NodeContext context, long token, MachineType type) {
        SchedulerCore core = core(context, token, List.of(TEAM));
        core.setTypes(List.of(type));
        core.recordsLoaded();
        return core;
    }

    /** The one machine type of these tests. */
    static MachineType quad() {
        return new MachineType("quad", new Demand(4, 0, 16), 40, 1, 1, 1, Span.seconds(20), List.of("a"));
    }

    /** Writes the leadership key; the result is its revision. */
    static Revision lead(StateClient client, long token) throws Exception {
        return await(client.commit(new StateClient.Txn().put(RecordKeys.LEADER, MessagePackFormat.map("t", token))))
                .writtenRevision();
    }

    /** The writes of a leader whose deposition has no effect. */
    static LeaderWrites writes(NodeContext context, long token, Revision revision, double writesPerS) {
        return writes(context, token, revision, writesPerS, () -> {});
    }

    static LeaderWrites writes(
            NodeContext context,
            long token,
            Revision revision,
            double writesPerS,
            LeaderWrites.DepositionListener listener) {
        RateLimiter limiter = new RateLimiter(writesPerS, context.clock().now());
        return new LeaderWrites(context, new FencingToken(token), revision, limiter, listener);
    }

    /** A job array with an image name of its own. */
    static JobSpec spec(JobId id, int tasks, String image) {
        return JobSpec.builder(id)
                .jobClass("c")
                .team("t")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.STANDARD)
                .tasks(tasks)
                .demand(new Demand(1, 0, 1))
                .image(image)
                .imageGb(0)
                .spotAllowed()
                .estimate(Span.seconds(10))
                .build();
    }

    static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
    }
}
