package io.indigoreach.experiment;

import io.indigoreach.load.Arrivals;
import io.indigoreach.scenario.Scenario;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Plays a scenario with controllers in processes of their own. */
final class ExperimentRun {
    private static final long LONGEST_RUN_S = 240;
    private static final long LONGEST_CLOSE_S = 20;

    private ExperimentRun() {}

    /** {@code directory}: for the controllers' settings and logs. */
    static Experiment.Outcome of(Scenario scenario, Path directory) throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            Experiment experiment = new Experiment(vertx, scenario, Path.of("."), directory, line -> {});
            return await(experiment.run(Arrivals.of(scenario)), LONGEST_RUN_S);
        } finally {
            await(vertx.close(), LONGEST_CLOSE_S);
        }
    }

    private static <T> T await(Future<T> future, long seconds) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(seconds, TimeUnit.SECONDS);
    }
}
