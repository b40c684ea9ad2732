package io.indigoreach.core.scheduling;

import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.JobStatus;

/** Converts a leader's state of jobs and machines to the form from which lost records are rebuilt. */
final class RememberedStateBuilder {
    private RememberedStateBuilder() {}

    static RememberedState of(Cluster cluster) {
        RememberedState rememberedState = new RememberedState();
        for (Job job : cluster.jobs.values()) {
            rememberedState.add(of(job));
        }
        for (Machine machine : cluster.machines.values()) {
            if (machine.hasRecord) {
                rememberedState.add(new RememberedState.RentedMachine(
                        machine.id, machine.pool, machine.rentedAt, machine.knownToExistAt));
            }
        }
        return rememberedState;
    }

    static RememberedState of(Job job) {
        RememberedState rememberedState = new RememberedState();
        if (job.isComplete()) {
            rememberedState.add(job.id(), new RememberedState.FinishedJob(JobStatus.DONE, job.spec.taskCount()));
        } else {
            rememberedState.add(new RememberedState.OpenJob(
                    job.spec, job.submittedMs, job.completedTasks(), job.startBoundToWrite()));
        }
        return rememberedState;
    }
}
