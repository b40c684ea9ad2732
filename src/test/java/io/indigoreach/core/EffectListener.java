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
 * Hears, in order, what the core decides in a simulated run; see {@link BehaviourDigest}. An effect is a code and plain values, so
 * that it stays the same when classes, methods or constants of the core are renamed. A code keeps its number for ever.
 */
@FunctionalInterface
public interface EffectListener {
    EffectListener NONE = (code, values) -> {};

    int ANSWER = 1;
    int START = 2;
    int STOP = 3;
    int FORGET = 4;
    int RENT = 5;
    int RETURN = 6;
    int START_BOUND = 7;
    int MACHINE_RECORD = 8;
    int PROGRESS_RECORD = 9;
    int TASK_COMPLETED = 10;
    int JOB_ENDED = 11;
    int WAITS = 12;
    int LEADER = 13;
    int READ = 14;
    int SCAN = 15;
    int WRITE = 16;
    int ROUTINE_ENDED = 17;
    int ROUTINE_UNSETTLED = 18;
    int ACCOUNTS_PAGE = 19;
    int POOL = 20;
    int CANCELLATIONS_TOLD = 21;
    int WORKER_ANSWERED = 22;
    int END_LOOKED_UP = 23;
    int END_DOOMED = 24;
    int JOB_STARTABLE = 25;
    int INTENTS = 26;
    int RENT_ASKED = 27;
    int RETURN_ASKED = 28;
    int MONEY = 29;

    /**
     * Something was decided.
     *
     * @param values numbers, strings, truth values, nulls, bit sets, and lists and maps of these; a map's order counts for nothing
     */
    void effect(int code, Object... values);

    /**
     * The orders for a machine that has reported.
     *
     * @param result what the core makes of the heartbeat
     * @param answered whether the report is answered
     */
    default void answer(MachineId machine, HeartbeatResult result, boolean answered) {
        effect(
                ANSWER,
                machine.text(),
                result.isSuperseded() ? -1 : result.commands().size(),
                answered);
        result.commands().forEach(this::order);
    }

    private void order(WorkerCommand command) {
        String job = command.task().job().text();
        int index = command.task().index();
        long attempt = command.attempt().value();
        if (command instanceof WorkerCommand.Start) {
            effect(START, job, index, attempt);
        } else if (command instanceof WorkerCommand.Stop stop) {
            effect(STOP, job, index, attempt, stop.grace().ms());
        } else {
            effect(FORGET, job, index, attempt);
        }
    }

    default void rents(List<ScaleOutRequest> wishes) {
        wishes.forEach(request -> effect(
                RENT,
                request.pool().type(),
                request.pool().zone(),
                request.pool().spot(),
                request.count()));
    }

    default void returns(List<MachineId> machines) {
        machines.forEach(id -> effect(RETURN, id.text()));
    }

    /** Start bounds whose records the leader asks for. */
    default void boundsToRaise(List<Job> jobs) {
        jobs.forEach(job -> effect(START_BOUND, job.id().text(), job.startBoundToWrite()));
    }

    /** The job's progress, as its record is to be written. */
    default void progress(Job job) {
        effect(PROGRESS_RECORD, job.id().text(), job.completedTasks(), job.isComplete());
    }

    /** {@code reason}: null if none of the job's tasks waits. */
    default void waits(Job job, WaitReason reason) {
        effect(WAITS, job.id().text(), reason == null ? 0 : codeOf(reason));
    }

    private static int codeOf(WaitReason reason) {
        return switch (reason) {
            case RECORDS_WITHHELD -> 1;
            case FAILOVER -> 2;
            case TASKS_OF_ENDED_JOBS -> 3;
            case RETRY_PAUSE -> 4;
            case TRIED_ALONE -> 5;
            case HAD_ITS_TURN -> 6;
            case TEAM_LIMIT -> 7;
            case NO_POOL_MEMBERSHIP -> 8;
            case NO_MACHINE -> 9;
            case OTHER_ZONE -> 10;
            case BOOTING -> 11;
            case MACHINE_RECORD -> 12;
            case FAILED_THERE -> 13;
            case NO_ROOM -> 14;
            case KEPT_FOR_POOL -> 15;
            case SET_ASIDE -> 16;
            case LEFT_TO_CACHED_MACHINES -> 17;
            case KEPT_FOR_REPLICAS -> 18;
            case RESERVATION -> 19;
            case KEPT_FOR_OBJECTIVES -> 20;
            case START_BOUND -> 21;
            case NEXT_HEARTBEAT -> 22;
        };
    }

    /** What a leader says of itself. */
    default void leader(SchedulerCore core, Moment now) {
        effect(
                LEADER,
                core.areRecordsLoaded(),
                core.isFailoverComplete(),
                core.isPartitionedFromWorkers(now),
                core.machineCount());
    }

    /** What a routine wants next; its result is told by whoever knows its type. */
    default void step(Step<?> step) {
        if (step instanceof Step.Read<?> read) {
            effect(READ, read.keys());
        } else if (step instanceof Step.Scan<?> scan) {
            effect(SCAN, scan.prefix(), scan.after(), scan.most());
        } else if (step instanceof Step.Write<?> write) {
            change(write.change());
        } else {
            effect(ROUTINE_ENDED);
        }
    }

    default void change(Transaction change) {
        Map<String, Object> conditions = new TreeMap<>();
        change.conditions().forEach((key, stamp) -> conditions.put(key, stamp.value()));
        effect(WRITE, conditions, change.writes());
    }

    /** A page of the accounts that is to be written. */
    default void page(int number, Sheet sheet) {
        List<Object> lines = new ArrayList<>();
        sheet.lines().values().forEach(l -> {
            lines.add(l.machine().text());
            lines.addAll(List.of(l.where().type(), l.where().zone(), l.where().spot()));
            lines.addAll(List.of(
                    l.begunMs(), l.paidToMs(), l.payer().pool(), l.payer().team()));
            lines.addAll(List.of(l.image(), l.gb(), l.session()));
        });
        List<Object> sums = new ArrayList<>();
        sheet.sums().forEach((account, money) -> sums.addAll(List.of(account.pool(), account.team(), money)));
        effect(ACCOUNTS_PAGE, number, lines, sums);
    }
}
