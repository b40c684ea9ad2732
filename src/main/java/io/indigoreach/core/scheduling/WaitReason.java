package io.indigoreach.core.scheduling;

/**
 * What keeps a job's next waiting task from starting, in the order in which a start passes these conditions: first those of
 * the job by itself, then those of a machine. Of several machines the one counts on which the task comes furthest.
 */
public enum WaitReason {
    /** All that waits is withheld until the job's records are known to be its own. */
    RECORDS_WITHHELD,
    /** What an earlier leader started may still be on a machine that has not been reconciled. */
    FAILOVER,
    /** Tasks of jobs that are over are still on machines, and count against the limit of a team that may be this one. */
    TASKS_OF_ENDED_JOBS,
    /** It has failed on several machines, and is tried again after a pause. */
    RETRY_PAUSE,
    /** It has failed on several machines, and is tried with one task at a time. */
    TRIED_ALONE,
    /** One of its tasks was started before all others; the rest wait until the queue is ordered again. */
    HAD_ITS_TURN,
    /** Its team uses all that it may. */
    TEAM_LIMIT,
    /** A task that holds an image runs only on members of its pool. */
    NO_POOL_MEMBERSHIP,
    /** No machine is there that it may use. */
    NO_MACHINE,
    /** Where its other tasks are, or how many are in a zone, leaves it other zones than those of the machines. */
    OTHER_ZONE,
    /** A machine that it may use is booting. */
    BOOTING,
    /** A machine that it may use is not recorded yet. */
    MACHINE_RECORD,
    /** It has failed on the machines that it may use. */
    FAILED_THERE,
    /** The machines that it may use are full. */
    NO_ROOM,
    /** The room is on machines that a warm pool pays for. */
    KEPT_FOR_POOL,
    /** The room is on machines that are surplus, or cordoned while others have room. */
    SET_ASIDE,
    /** It is left to machines that have its image, for an objective that a fetch would miss. */
    LEFT_TO_CACHED_MACHINES,
    /** During a failover the room is kept for replicas that may turn out to be nowhere. */
    KEPT_FOR_REPLICAS,
    /** A reservation ahead of it would be delayed. */
    RESERVATION,
    /** The room is kept for the jobs that have an objective. */
    KEPT_FOR_OBJECTIVES,
    /** Its start bound is not recorded yet. */
    START_BOUND,
    /** A machine has room for it, and gets it with its next heartbeat. */
    NEXT_HEARTBEAT;

    /** Whether no machine that fits the job has room, or its team is at its limit: what a job may wait for at any length. */
    public boolean isLimitOrRoom() {
        return switch (this) {
            case TEAM_LIMIT, NO_POOL_MEMBERSHIP, NO_MACHINE, OTHER_ZONE, BOOTING, NO_ROOM -> true;
            default -> false;
        };
    }
}
