package io.indigoreach.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.checker.Event;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.load.Users;
import io.vertx.core.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Three real controllers. A third of the machines hear no answers from 3 s on, for longer than the test lasts; half of all
 * reports come once more after 4 s, which is beyond a lease, from machines that are gone and under the next leader too. Work
 * goes elsewhere, and no rule is broken.
 */
@Execution(ExecutionMode.CONCURRENT)
class AsymmetricPartitionDayTest {
    @Test
    void workGoesElsewhereAndNoRuleIsBroken() throws Exception {
        try (LocalCluster cluster = new LocalCluster(3, """
                fault { kind: repeat at_s: 0 for_s: 60 from: "workers" share: 0.5 delay_s: 4 }
                fault { kind: deafen at_s: 3 for_s: 120 share: 0.33 }
                """).start()) {
            Future<Users.Mine> job = cluster.run(LocalCluster.job(1, 16, 4), 0);
            cluster.awaitEvents(e -> e instanceof Event.Running, 8);
            Future<Users.Mine> second = cluster.run(LocalCluster.job(2, 16, 2), 0);
            assertEquals(JobStatus.DONE, LocalCluster.await(job).status());
            assertEquals(JobStatus.DONE, LocalCluster.await(second).status());
            cluster.stop(0);
            assertEquals(
                    JobStatus.DONE,
                    LocalCluster.await(cluster.run(LocalCluster.job(3, 8, 1), 0))
                            .status());
            assertEquals(0, cluster.breaches().size(), cluster.breaches()::toString);
        }
    }
}
