package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.WorkerCommand;
import java.util.List;
import java.util.Optional;

/**
 * Whether a machine receives the answers to its heartbeats. Its heartbeats may arrive while answers do not reach it: then it
 * starts nothing that it is given, and its tasks end with its lease, however many heartbeats arrive. A heartbeat shows what
 * became of the answer before it, as a worker has one heartbeat in flight and drops answers to those that it has abandoned:
 * what was started is in it in some state, refused included, what was reaped is not, what was stopped does not run, and the
 * token is this leader's.
 *
 * <p>A lost answer or two are usual. A partition is confirmed by {@value #MISSED_TO_CONFIRM} answers missed in a row over half
 * a lease; for a machine that has shown nothing to this leader yet, as it may start slowly or be slow to find a new leader, by
 * twice as many over twice as long. Heartbeats every 2 s confirm it with the third after the first answer, at 6 s; those of
 * a worker that waits 4 s for each answer and is sent back at once, at 16.5 s; by the token alone at 12 s and 33 s. All that
 * is kept is one command, a count and three times.
 */
final class AsymmetricPartitionDetector {
    private static final int MISSED_ANSWERS_TO_CONFIRM = 3;
    private static final double CONFIRMATION_LEASE_FRACTION = 0.5;
    /** How much more evidence is needed of a machine that has not received any answer of this leader yet. */
    private static final int UNPROVEN_FACTOR = 2;

    private enum Evidence {
        RECEIVED,
        MISSED,
        INCONCLUSIVE
    }

    /** A command of the last answer, by which the next heartbeat shows whether it was received; or null. */
    private WorkerCommand probe;
    /** When the previous heartbeat was answered; null if it was not, or too late. */
    private Moment answerSentAt;

    private int missedAnswers;
    /** When the first of the missed answers was given. */
    private Moment firstMissedSentAt;
    /** When the last missed answer was noticed. */
    private Moment lastMissedDetectedAt;
    /** It has received an answer of this leader. */
    private boolean everReceived;

    private boolean confirmed;

    /**
     * Takes the evidence of a heartbeat newer than {@code previous}.
     *
     * @param awakeSince until then the leader's event loop stood still, and it may have answered late
     */
    void recordHeartbeat(
            Heartbeat heartbeat,
            HeartbeatNumber previous,
            FencingToken token,
            Moment eventLoopRunningSince,
            SafetyTimes safetyTimes,
            Moment now) {
        Evidence evidence = evaluateHeartbeat(heartbeat, previous, token);
        boolean outlivesLease =
                missedAnswers > 0 && now.since(lastMissedDetectedAt).compareTo(safetyTimes.leaseBound()) > 0;
        if (evidence == Evidence.RECEIVED || (evidence == Evidence.INCONCLUSIVE && outlivesLease)) {
            // An incarnation that outlasts a lease was answered meanwhile, whatever else is known.
            missedAnswers = 0;
            confirmed = false;
            everReceived |= evidence == Evidence.RECEIVED;
        } else if (evidence == Evidence.MISSED && !eventLoopRunningSince.isAfter(answerSentAt)) {
            recordMissedAnswer(safetyTimes, now);
        }
        answerSentAt = null;
        probe = null;
    }

    private void recordMissedAnswer(SafetyTimes safetyTimes, Moment now) {
        firstMissedSentAt = missedAnswers == 0 ? answerSentAt : firstMissedSentAt;
        lastMissedDetectedAt = now;
        missedAnswers++;
        int factor = everReceived ? 1 : UNPROVEN_FACTOR;
        Span confirmationTime = safetyTimes.workerLease().times(CONFIRMATION_LEASE_FRACTION * factor);
        confirmed = missedAnswers >= MISSED_ANSWERS_TO_CONFIRM * factor
                && now.since(firstMissedSentAt).compareTo(confirmationTime) >= 0;
    }

    private Evidence evaluateHeartbeat(Heartbeat heartbeat, HeartbeatNumber previous, FencingToken token) {
        if (!everReceived && heartbeat.token().equals(token)) {
            return Evidence.RECEIVED;
        }
        if (answerSentAt == null) {
            return Evidence.INCONCLUSIVE;
        }
        if (heartbeat.number().incarnation() > previous.incarnation()) {
            return Evidence.MISSED;
        }
        if (heartbeat.token().value() < token.value()) {
            return Evidence.MISSED;
        }
        return probe == null ? Evidence.INCONCLUSIVE : evaluateTasks(heartbeat.tasks());
    }

    private Evidence evaluateTasks(List<TaskStatus> tasks) {
        Optional<TaskStatus> reported = tasks.stream()
                .filter(status ->
                        status.task().equals(probe.task()) && status.attempt().equals(probe.attempt()))
                .findFirst();
        if (probe instanceof WorkerCommand.Stop) {
            return reported.filter(AsymmetricPartitionDetector::isStillRunning).isPresent()
                    ? Evidence.MISSED
                    : Evidence.INCONCLUSIVE;
        }
        boolean expected = probe instanceof WorkerCommand.Start;
        return reported.isPresent() == expected ? Evidence.RECEIVED : Evidence.MISSED;
    }

    private static boolean isStillRunning(TaskStatus status) {
        return status.state() == TaskState.RUNNING || status.state() == TaskState.FETCHING;
    }

    /** These commands are in the answer that is sent now: a start is the best evidence, a stop the weakest. */
    void recordAnswer(List<WorkerCommand> commands, Moment now) {
        answerSentAt = now;
        for (WorkerCommand command : commands) {
            if (probe == null || command instanceof WorkerCommand.Start || probe instanceof WorkerCommand.Stop) {
                probe = command;
            }
        }
    }

    /** It has missed the last answer. */
    boolean isSuspected() {
        return missedAnswers > 0;
    }

    /** Answers do not reach it: nothing more is to be given to it. */
    boolean isConfirmed() {
        return confirmed;
    }

    /** When the first of the missed answers was given. */
    Moment firstMissedSentAt() {
        return firstMissedSentAt;
    }

    /** How many answers it has missed in a row. */
    int missedAnswers() {
        return missedAnswers;
    }
}
