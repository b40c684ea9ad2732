package io.indigoreach.core.scheduling;

/**
 * Why a job's next waiting task does not start. The constants are in the order in which the conditions are checked:
 * first those of the job, then those of a machine. Of several machines, the one counts on which the task passes most
 * conditions.
 */
public enum WaitReason {
    /** All waiting tasks are gated until the job owns the records that they process. */
    RECORDS_WITHHELD,
    /** Tasks that an earlier leader started may still be on a machine that was not reconciled yet. */
    FAILOVER,
    /** Tasks of ended jobs are still on machines and may count against the limit of the job's team. */
    TASKS_OF_ENDED_JOBS,
    /** The job has failed repeatedly and is retried after a pause. */
    RETRY_PAUSE,
    /** The job has failed on several machines and is retried with one task at a time. */
    TRIED_ALONE,
    /** The job was starved and one of its tasks was started. The others wait until the queue is sorted again. */
    HAD_ITS_TURN,
    /** The job's team is at its limit. */
    TEAM_LIMIT,
    /** The job is the holder of a warm pool, whose tasks run only on machines of that pool. */
    NO_POOL_MEMBERSHIP,
    /** The cluster has no machine that the job may use. */
    NO_MACHINE,
    /** The job's zone constraints, given its other placements, exclude the zones of the machines. */
    OTHER_ZONE,
    /** A machine that the job may use is booting. */
    BOOTING,
    /** A machine that the job may use is not recorded yet. */
    MACHINE_RECORD,
    /** The job is excluded from the machines on which it has failed. */
    FAILED_THERE,
    /** The machines that the job may use are full. */
    NO_ROOM,
    /** Free capacity is only on machines that are kept for a warm pool. */
    KEPT_FOR_POOL,
    /** Free capacity is only on machines that are surplus or cordoned. */
    SET_ASIDE,
    /** The job waits for a machine that has its image, because a fetch would miss an objective. */
    LEFT_TO_CACHED_MACHINES,
    /** During a failover, capacity is kept for service replicas that may turn out to run nowhere. */
    KEPT_FOR_REPLICAS,
    /** A start would delay the reservation of the top job. */
    RESERVATION,
    /** Capacity is kept for jobs with an objective. */
    KEPT_FOR_OBJECTIVES,
    /** The required start bound is not recorded yet. */
    START_BOUND,
    /** A machine has capacity for the task and receives it with the response to its next heartbeat. */
    NEXT_HEARTBEAT;

    /** Whether the job waits for capacity or its team's limit, which may take any length of time. */
    public boolean isLimitOrRoom() {
        return switch (this) {
            case TEAM_LIMIT, NO_POOL_MEMBERSHIP, NO_MACHINE, OTHER_ZONE, BOOTING, NO_ROOM -> true;
            default -> false;
        };
    }
}
