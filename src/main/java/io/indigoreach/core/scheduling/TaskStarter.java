package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.TaskState;

/** Places tasks on machines; its attempt numbers are unique within the leadership term. */
final class TaskStarter {
    private final Cluster cluster;
    private final FencingToken token;
    private long attempts;

    TaskStarter(Cluster cluster, FencingToken token) {
        this.cluster = cluster;
        this.token = token;
    }

    /** Starts the job's next task on the machine of the batch. */
    Placement start(Job job, CommandBatch batch) {
        Machine machine = batch.machine();
        Placement placement = new Placement(
                job,
                job.nextStartable(),
                machine,
                token.attempt(++attempts),
                TaskState.ORDERED,
                batch.number(),
                batch.now());
        cluster.warmCapacity.taskStarting(job, machine);
        cluster.addPlacement(placement);
        batch.addStart(placement);
        return placement;
    }
}
