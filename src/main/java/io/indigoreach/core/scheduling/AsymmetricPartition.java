package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.WorkerCommand;
import java.util.List;

/**
 * Whether a machine takes the answers to its reports. Its reports may arrive while answers do not reach it: it starts nothing
 * that it is given, and its tasks end with its lease, however often it is heard. A report shows what became of the answer
 * before it, as a worker has one report under way and drops answers to those that it has given up: what was started is in it in
 * some state, refused included, what was reaped is not, what was stopped does not run, and the token is ours.
 *
 * <p>A lost answer or two are usual. A machine is told by {@value #MISSED} answers not taken in a row, with none taken between,
 * over half a lease; one that has shown nothing to this leader yet, as it may be slow at its start or find a new leader slow,
 * by twice as many over twice as long. Reports every 2 s tell it with the third after the first answer, at 6 s; those of a
 * worker that waits 4 s for each answer and is sent back at once, at 16.5 s; by the token alone at 12 s and 33 s. All that is
 * kept is one order, a count and three times.
 */
final class AsymmetricPartition {
    private static final int MISSED = 3;

    private enum Evidence {
        TAKEN,
        MISSED,
        NOTHING
    }

    /** An order of the last answer, by which the next report shows whether it was taken; or null. */
    private WorkerCommand witness;
    /** When the report before was answered; null if it was not, or too late. */
    private Moment answerSent;

    private int missed;
    /** When the first of the answers was given that were not taken, and when the last one showed. */
    private Moment since;

    private Moment lastMiss;
    /** It has taken an answer of this leader. */
    private boolean proved;

    private boolean told;

    /** A report newer than {@code before}; {@code awake}: until then the leader stood still, and may have answered late. */
    void observe(
            Heartbeat heartbeat,
            HeartbeatNumber before,
            FencingToken token,
            Moment awake,
            SafetyTimes rules,
            Moment now) {
        Evidence sign = sign(heartbeat, before, token);
        boolean goesOn = missed > 0 && now.since(lastMiss).compareTo(rules.leaseBound()) > 0;
        if (sign == Evidence.TAKEN || (sign == Evidence.NOTHING && goesOn)) {
            // A session that outlasts a lease was answered meanwhile, whatever else is known.
            missed = 0;
            told = false;
            proved |= sign == Evidence.TAKEN;
        } else if (sign == Evidence.MISSED && !awake.isAfter(answerSent)) {
            since = missed == 0 ? answerSent : since;
            lastMiss = now;
            missed++;
            int times = proved ? 1 : 2;
            told = missed >= MISSED * times
                    && now.since(since).compareTo(rules.workerLease().times(0.5 * times)) >= 0;
        }
        answerSent = null;
        witness = null;
    }

    private Evidence sign(Heartbeat heartbeat, HeartbeatNumber before, FencingToken token) {
        if (!proved && heartbeat.token().equals(token)) {
            return Evidence.TAKEN;
        }
        if (answerSent == null) {
            return Evidence.NOTHING;
        }
        if (heartbeat.number().incarnation() > before.incarnation()) {
            return Evidence.MISSED;
        }
        if (heartbeat.token().value() < token.value()) {
            return Evidence.MISSED;
        }
        return witness == null ? Evidence.NOTHING : shown(heartbeat.tasks());
    }

    private Evidence shown(List<TaskStatus> tasks) {
        TaskStatus shown = tasks.stream()
                .filter(status ->
                        status.task().equals(witness.task()) && status.attempt().equals(witness.attempt()))
                .findFirst()
                .orElse(null);
        if (witness instanceof WorkerCommand.Stop) {
            boolean goesOn =
                    shown != null && (shown.state() == TaskState.RUNNING || shown.state() == TaskState.FETCHING);
            return goesOn ? Evidence.MISSED : Evidence.NOTHING;
        }
        return (shown != null) == witness instanceof WorkerCommand.Start ? Evidence.TAKEN : Evidence.MISSED;
    }

    /** These orders are in the answer that goes out now: a start tells most, a stop least. */
    void answerSent(List<WorkerCommand> orders, Moment now) {
        answerSent = now;
        for (WorkerCommand command : orders) {
            if (witness == null || command instanceof WorkerCommand.Start || witness instanceof WorkerCommand.Stop) {
                witness = command;
            }
        }
    }

    /** It has not taken the last answer. */
    boolean isSuspected() {
        return missed > 0;
    }

    /** Nothing more is to be given to it. */
    boolean isConfirmed() {
        return told;
    }

    Moment since() {
        return since;
    }

    int missed() {
        return missed;
    }
}
