package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.JobId;
import java.util.Locale;
import java.util.Optional;

/** Formats the state of the scheduler as one log line. */
final class SummaryFormatter {
    private SummaryFormatter() {}

    static String of(Cluster cluster, FailoverTracker failover, Optional<LongestWaitFinder.LongestWait> longestWait) {
        int up = 0;
        int idle = 0;
        int booting = 0;
        int placed = 0;
        for (Machine machine : cluster.machines.values()) {
            up += machine.phase == Machine.Phase.UP ? 1 : 0;
            idle += machine.phase == Machine.Phase.UP && machine.isIdle() ? 1 : 0;
            booting += machine.phase == Machine.Phase.BOOTING ? 1 : 0;
            placed += machine.taskCount();
        }
        int waiting = 0;
        int jobsAtTeamLimit = 0;
        for (Job job : cluster.jobs.values()) {
            waiting += job.waitingCount();
            jobsAtTeamLimit += job.hasWaiting() && cluster.isTeamAtLimit(job) ? 1 : 0;
        }
        int otherMachineCount = cluster.machines.size() - up - booting;
        return "scheduler summary jobs=" + cluster.jobs.size() + " waiting=" + waiting + " placed=" + placed + " up="
                + up + " idle=" + idle + " booting=" + booting + " other=" + otherMachineCount
                + (failover.isComplete() ? "" : " unreconciled=" + failover.unreconciledCount())
                + (jobsAtTeamLimit == 0 ? "" : " limited=" + jobsAtTeamLimit)
                + longestWait.map(SummaryFormatter::format).orElse("");
    }

    private static String format(LongestWaitFinder.LongestWait wait) {
        return String.format(
                Locale.ROOT,
                " longest=%s waited=%.1f reason=%s top=%s",
                wait.job(),
                wait.waited().seconds(),
                wait.reason(),
                wait.topJob().map(JobId::toString).orElse("none"));
    }
}
