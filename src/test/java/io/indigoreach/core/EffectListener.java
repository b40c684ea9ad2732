package io.indigoreach.core;

import io.indigoreach.core.accounts.Sheet;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.WorkerCommand;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.core.scheduling.HeartbeatResult;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.ScaleOutRequest;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.core.scheduling.WaitReason;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Receives, in order, the decisions of the core in a simulation; see {@link BehaviourDigest}. An effect consists of a code and plain values, so
 * that renaming classes, methods or constants of the core does not change it. The number of a code must never change.
 */
@FunctionalInterface
public interface EffectListener {
    EffectListener NONE = (code, values) -> {};

    int HEARTBEAT_RESPONSE = 1;
    int START = 2;
    int STOP = 3;
    int REAP = 4;
    int RENT = 5;
    int RETURN = 6;
    int START_BOUND = 7;
    int MACHINE_RECORD = 8;
    int PROGRESS_RECORD = 9;
    int TASK_COMPLETED = 10;
    int JOB_ENDED = 11;
    int WAIT_REASON = 12;
    int LEADER_STATE = 13;
    int READ = 14;
    int SCAN = 15;
    int WRITE = 16;
    int ROUTINE_ENDED = 17;
    int ROUTINE_INTERRUPTED = 18;
    int ACCOUNTS_PAGE = 19;
    int POOL_STATE = 20;
    int CANCELLATIONS_REPORTED = 21;
    int WORKER_RESPONSE = 22;
    int END_LOOKED_UP = 23;
    int CANCELLATION_REQUIRED = 24;
    int JOB_STATE = 25;
    int INTENTS = 26;
    int RENT_REQUESTED = 27;
    int RETURN_REQUESTED = 28;
    int ACCOUNTED_COST = 29;

    /**
     * Receives an effect.
     *
     * @param values numbers, strings, booleans, nulls, bit sets, and lists and maps of these; the order of a map is ignored
     */
    void effect(int code, Object... values);

    /**
     * Receives the commands in the response to a heartbeat.
     *
     * @param result the core's result for the heartbeat
     * @param answered whether the heartbeat is responded to
     */
    default void onHeartbeatResponse(MachineId machine, HeartbeatResult result, boolean answered) {
        effect(
                HEARTBEAT_RESPONSE,
                machine.text(),
                result.isSuperseded() ? -1 : result.commands().size(),
                answered);
        result.commands().forEach(this::onCommand);
    }

    private void onCommand(WorkerCommand command) {
        String job = command.task().job().text();
        int index = command.task().index();
        long attempt = command.attempt().value();
        if (command instanceof WorkerCommand.Start) {
            effect(START, job, index, attempt);
        } else if (command instanceof WorkerCommand.Stop stop) {
            effect(STOP, job, index, attempt, stop.gracePeriod().ms());
        } else {
            effect(REAP, job, index, attempt);
        }
    }

    /** Receives the requests to rent machines. */
    default void onRentRequests(List<ScaleOutRequest> requests) {
        requests.forEach(request -> effect(
                RENT,
                request.pool().type(),
                request.pool().zone(),
                request.pool().spot(),
                request.count()));
    }

    /** Receives the machines to be returned to the cloud. */
    default void onReturns(List<MachineId> machines) {
        machines.forEach(id -> effect(RETURN, id.text()));
    }

    /** Receives the jobs whose raised start bounds the leader has to record. */
    default void onStartBoundsToRaise(List<Job> jobs) {
        jobs.forEach(job -> effect(START_BOUND, job.id().text(), job.startBoundToWrite()));
    }

    /** Receives the progress that a job's record is to show. */
    default void onProgress(Job job) {
        effect(PROGRESS_RECORD, job.id().text(), job.completedTasks(), job.isComplete());
    }

    /** Receives the reason why a job's tasks wait; {@code reason} is null if none waits. */
    default void onWaitReason(Job job, WaitReason reason) {
        effect(WAIT_REASON, job.id().text(), reason == null ? 0 : codeOf(reason));
    }

    private static int codeOf(WaitReason reason) {
        return switch (reason) {
            case RECORDS_NOT_OWNED -> 1;
            case FAILOVER -> 2;
            case ORPHAN_TASKS -> 3;
            case RETRY_BACKOFF -> 4;
            case SINGLE_TASK_RETRY -> 5;
            case STARVATION_RELIEVED -> 6;
            case TEAM_LIMIT -> 7;
            case NO_POOL_MEMBERSHIP -> 8;
            case NO_MACHINE -> 9;
            case ZONE_CONSTRAINT -> 10;
            case BOOTING -> 11;
            case MACHINE_NOT_RECORDED -> 12;
            case EXCLUDED_AFTER_FAILURE -> 13;
            case NO_FREE_CAPACITY -> 14;
            case RESERVED_FOR_POOL -> 15;
            case SURPLUS_OR_CORDONED -> 16;
            case AWAITING_CACHED_IMAGE -> 17;
            case RESERVED_FOR_REPLICAS -> 18;
            case RESERVATION -> 19;
            case RESERVED_FOR_OBJECTIVES -> 20;
            case START_BOUND_NOT_RECORDED -> 21;
            case NEXT_HEARTBEAT -> 22;
        };
    }

    /** Receives a leader's state. */
    default void onLeaderState(SchedulerCore core, Moment now) {
        effect(
                LEADER_STATE,
                core.areRecordsLoaded(),
                core.isFailoverComplete(),
                core.isPartitionedFromWorkers(now),
                core.machineCount());
    }

    /** Receives a step that a routine requests. The result of a routine is reported separately by its caller, which knows the type. */
    default void onStep(Step<?> step) {
        if (step instanceof Step.Read<?> read) {
            effect(READ, read.keys());
        } else if (step instanceof Step.Scan<?> scan) {
            effect(SCAN, scan.prefix(), scan.afterKey(), scan.limit());
        } else if (step instanceof Step.Write<?> write) {
            onTransaction(write.transaction());
        } else {
            effect(ROUTINE_ENDED);
        }
    }

    /** Receives a transaction. */
    default void onTransaction(Transaction transaction) {
        Map<String, Object> conditions = new TreeMap<>();
        transaction.conditions().forEach((key, revision) -> conditions.put(key, revision.value()));
        effect(WRITE, conditions, transaction.writes());
    }

    /** Receives a page of the accounts that is to be written. */
    default void onAccountsPage(int number, Sheet sheet) {
        List<Object> lines = new ArrayList<>();
        sheet.lines().values().forEach(line -> {
            lines.add(line.machine().text());
            lines.addAll(List.of(
                    line.where().type(), line.where().zone(), line.where().spot()));
            lines.addAll(List.of(
                    line.begunMs(),
                    line.paidToMs(),
                    line.payer().pool(),
                    line.payer().team()));
            lines.addAll(List.of(line.image(), line.gb(), line.session()));
        });
        List<Object> totals = new ArrayList<>();
        sheet.sums().forEach((account, money) -> totals.addAll(List.of(account.pool(), account.team(), money)));
        effect(ACCOUNTS_PAGE, number, lines, totals);
    }
}
