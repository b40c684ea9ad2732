package io.indigoreach.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.model.JobStatus;
import io.indigoreach.load.Users;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Real controllers under each fault: jobs end as they should, and no rule is broken. */
@Execution(ExecutionMode.CONCURRENT)
class FaultsTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "fault { kind: slow at_s: 0 for_s: 8 to: 'state' delay_s: 0.2 }",
                "fault { kind: refuse at_s: 1 for_s: 2 to: 'state' status: 503 writes: true }",
                "fault { kind: refuse at_s: 0 for_s: 8 to: 'state' status: 429 share: 0.3 }",
                "fault { kind: refuse at_s: 1 for_s: 6 from: 'node-0' to: 'state' }",
                "fault { kind: outage at_s: 2 for_s: 3 to: 'state' }",
                "fault { kind: outage at_s: 0 for_s: 4 to: 'cloud' }",
                "fault { kind: lose_answer at_s: 0 for_s: 8 to: 'state' writes: true share: 0.2 }",
                "fault { kind: lose_request at_s: 0 for_s: 8 to: 'cloud' share: 0.3 }",
                "fault { kind: late at_s: 0 for_s: 8 to: 'state' writes: true share: 0.2 delay_s: 1 }",
                "fault { kind: late at_s: 0 for_s: 8 to: 'cloud' share: 0.3 delay_s: 3 }",
                "fault { kind: repeat at_s: 0 for_s: 8 to: 'state' writes: true share: 0.5 delay_s: 0.3 }",
                "fault { kind: repeat at_s: 0 for_s: 8 from: 'workers' share: 0.5 delay_s: 1 }",
                "fault { kind: stale at_s: 0 for_s: 8 to: 'state' behind: 2 share: 0.2 }",
                "fault { kind: take at_s: 2 share: 0.5 }",
                "fault { kind: take at_s: 2 share: 0.5 notice_s: 1 }",
                "fault { kind: die at_s: 2 share: 0.5 }",
                "fault { kind: hang at_s: 2 for_s: 2 share: 0.5 }",
                "fault { kind: deafen at_s: 2 for_s: 6 share: 1 }",
                "fault { kind: repeat at_s: 0 for_s: 8 from: 'workers' share: 0.5 delay_s: 5 } fault { kind: take at_s: 2 share: 0.5 }",
                "fault { kind: spoil at_s: 2 share: 0.3 }",
                "fault { kind: no_boot at_s: 0 for_s: 1 }",
                "fault { kind: hold at_s: 2 for_s: 3 from: 'workers' to: 'node-0' }",
                "fault { kind: hold at_s: 2 for_s: 3 from: 'node-0' to: 'node-1' }",
                "fault { kind: hold at_s: 1 for_s: 4 from: 'node-1' to: 'state' }",
                "fault { kind: reset at_s: 0 for_s: 8 share: 0.1 }",
                "fault { kind: closed at_s: 1 for_s: 3 to: 'state' }",
                "fault { kind: closed at_s: 2 for_s: 2 from: 'node-0' to: 'node-1' }",
                "fault { kind: refuse at_s: 1 for_s: 3 from: 'users' to: 'node-0' }",
            })
    void leaveTheRulesWhole(String faults) throws Exception {
        try (LocalCluster cluster = new LocalCluster(2, faults.replace('\'', '"')).start()) {
            List<Future<Users.Mine>> jobs = new ArrayList<>();
            jobs.add(cluster.run(LocalCluster.job(1, 12, 1), 0));
            jobs.add(cluster.run(LocalCluster.job(2, 4, 30), 3));
            jobs.add(cluster.run(LocalCluster.job(3, 5, 2), 0));
            List<JobStatus> ends = new ArrayList<>();
            for (Future<Users.Mine> job : jobs) {
                ends.add(LocalCluster.await(job).status());
            }
            assertEquals(List.of(JobStatus.DONE, JobStatus.CANCELLED, JobStatus.DONE), ends);
            assertEquals(List.of(), cluster.breaches());
        }
    }
}
