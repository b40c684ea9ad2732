package io.indigoreach.core.scheduling;

/**
 * What keeps a job's next waiting task from starting, in the order in which a start passes these conditions: first those of
 * the job by itself, then those of a machine. Of several machines the one counts on which the task comes furthest.
 */
public enum WaitReason {
    /** All that waits is withheld until the job's records are known to be its own. */
    RECORDS_NOT_OWNED,
    /** What an earlier leader started may still be on a machine that has not been reconciled. */
    FAILOVER,
    /** Tasks of jobs that are over are still on machines, and count against the limit of a team that may be this one. */
    ORPHAN_TASKS,
    /** It has failed on several machines, and is tried again after a pause. */
    RETRY_BACKOFF,
    /** It has failed on several machines, and is tried with one task at a time. */
    SINGLE_TASK_RETRY,
    /** One of its tasks was started before all others; the rest wait until the queue is ordered again. */
    STARVATION_RELIEVED,
    /** Its team uses all that it may. */
    TEAM_LIMIT,
    /** A task that holds an image runs only on members of its pool. */
    NO_POOL_MEMBERSHIP,
    /** No machine is there that it may use. */
    NO_MACHINE,
    /** Where its other tasks are, or how many are in a zone, leaves it other zones than those of the machines. */
    ZONE_CONSTRAINT,
    /** A machine that it may use is booting. */
    BOOTING,
    /** A machine that it may use is not recorded yet. */
    MACHINE_NOT_RECORDED,
    /** It has failed on the machines that it may use. */
    EXCLUDED_AFTER_FAILURE,
    /** The machines that it may use are full. */
    NO_FREE_CAPACITY,
    /** The room is on machines that a warm pool pays for. */
    RESERVED_FOR_POOL,
    /** The room is on machines that are surplus, or cordoned while others have room. */
    SURPLUS_OR_CORDONED,
    /** It is left to machines that have its image, for an objective that a fetch would miss. */
    AWAITING_CACHED_IMAGE,
    /** During a failover the room is kept for replicas that may turn out to be nowhere. */
    RESERVED_FOR_REPLICAS,
    /** A reservation ahead of it would be delayed. */
    RESERVATION,
    /** The room is kept for the jobs that have an objective. */
    RESERVED_FOR_OBJECTIVES,
    /** Its start bound is not recorded yet. */
    START_BOUND_NOT_RECORDED,
    /** A machine has room for it, and gets it with its next heartbeat. */
    NEXT_HEARTBEAT;

    /** Whether no machine that fits the job has room, or its team is at its limit: what a job may wait for at any length. */
    public boolean isLimitOrCapacity() {
        return switch (this) {
            case TEAM_LIMIT, NO_POOL_MEMBERSHIP, NO_MACHINE, ZONE_CONSTRAINT, BOOTING, NO_FREE_CAPACITY -> true;
            default -> false;
        };
    }
}
