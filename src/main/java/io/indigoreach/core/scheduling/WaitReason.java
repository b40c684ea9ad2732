package io.indigoreach.core.scheduling;

/**
 * Why a job's next waiting task does not start. The constants are in the order in which the conditions are checked:
 * first those of the job, then those of a machine. Of several machines, the one counts on which the task passes most
 * conditions.
 */
public enum WaitReason {
    /** All waiting tasks are gated until the job owns the records that they process. */
    RECORDS_NOT_OWNED,
    /** Tasks that an earlier leader started may still be on a machine that was not reconciled yet. */
    FAILOVER,
    /** Tasks of ended jobs are still on machines and may count against the limit of the job's team. */
    ORPHAN_TASKS,
    /** The job has failed repeatedly and is retried after a pause. */
    RETRY_BACKOFF,
    /** The job has failed on several machines and is retried with one task at a time. */
    SINGLE_TASK_RETRY,
    /** The job was starved and one of its tasks was started. The others wait until the queue is sorted again. */
    STARVATION_RELIEVED,
    /** The job's team is at its limit. */
    TEAM_LIMIT,
    /** The job is the holder of a warm pool, whose tasks run only on machines of that pool. */
    NO_POOL_MEMBERSHIP,
    /** The cluster has no machine that the job may use. */
    NO_MACHINE,
    /** The job's zone constraints and its existing placements exclude the zones of all machines it could use. */
    ZONE_CONSTRAINT,
    /** A machine that the job may use is booting. */
    BOOTING,
    /** A machine that the job may use is not recorded yet. */
    MACHINE_NOT_RECORDED,
    /** The job is excluded from the machines on which it has failed. */
    EXCLUDED_AFTER_FAILURE,
    /** The machines that the job may use are full. */
    NO_FREE_CAPACITY,
    /** Free capacity is only on machines that are kept for a warm pool. */
    RESERVED_FOR_POOL,
    /** Free capacity is only on machines that are surplus or cordoned. */
    SURPLUS_OR_CORDONED,
    /** The job waits for a machine that has its image, because a fetch would miss an objective. */
    AWAITING_CACHED_IMAGE,
    /** During a failover, capacity is kept for service replicas that may turn out to run nowhere. */
    RESERVED_FOR_REPLICAS,
    /** A start would delay the reservation of the top job. */
    RESERVATION,
    /** Capacity is kept for jobs with an objective. */
    RESERVED_FOR_OBJECTIVES,
    /** The required start bound is not recorded yet. */
    START_BOUND_NOT_RECORDED,
    /** A machine has capacity for the task and receives it with the response to its next heartbeat. */
    NEXT_HEARTBEAT;

    /** Whether the job waits for capacity or its team's limit, which may take any length of time. */
    public boolean isLimitOrCapacity() {
        return switch (this) {
            case TEAM_LIMIT, NO_POOL_MEMBERSHIP, NO_MACHINE, ZONE_CONSTRAINT, BOOTING, NO_FREE_CAPACITY -> true;
            default -> false;
        };
    }
}
