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
 * Detects a network partition in one direction: a machine's heartbeats arrive, but the answers do not reach it. Such a
 * machine executes no command, and its tasks end with its lease, however many heartbeats arrive. A heartbeat shows
 * whether the previous answer was received, because a worker has one heartbeat in flight and drops answers to
 * heartbeats that it has abandoned. After a received answer, the task list contains each started task in some state,
 * including refused; it does not contain reaped tasks; no stopped task is running; and the heartbeat carries this
 * leader's token.
 *
 * <p>One or two lost answers are normal. A partition is confirmed by {@value #MISSED_ANSWERS_TO_CONFIRM} consecutive missed
 * answers over at least half a lease. A machine that has not yet shown that it received any answer of this leader needs
 * twice as many over twice as long, because it may start slowly or take a while to find a new leader. With heartbeats
 * every 2 s, the third heartbeat after the first answer confirms the partition, at 6 s; with a worker that waits 4 s
 * for each answer and is then redirected at once, it is confirmed at 16.5 s. If the token is the only evidence, it
 * takes 12 s and 33 s. The state per machine is one command, a count and three times.
 */
final class AsymmetricPartitionDetector {
    private static final int MISSED_ANSWERS_TO_CONFIRM = 3;
    private static final double CONFIRMATION_LEASE_FRACTION = 0.5;
    /** Multiplies the required evidence for a machine that has not received any answer of this leader yet. */
    private static final int UNPROVEN_FACTOR = 2;

    private enum Evidence {
        RECEIVED,
        MISSED,
        INCONCLUSIVE
    }

    /** A command of the last answer, used to check whether the next heartbeat reflects that answer; or null. */
    private WorkerCommand probe;
    /** When the previous heartbeat was answered; null if it was not answered, or was answered too late. */
    private Moment answerSentAt;

    /** Number of consecutive missed answers. */
    private int missedAnswers;
    /** When the first of the missed answers was sent. */
    private Moment firstMissedSentAt;
    /** When the last missed answer was detected. */
    private Moment lastMissedDetectedAt;
    /** Whether the machine has received any answer of this leader. */
    private boolean everReceived;

    private boolean confirmed;

    /**
     * Evaluates a heartbeat that is newer than {@code previous}.
     *
     * @param eventLoopRunningSince when the leader's event loop last resumed after a pause; answers before it may have been sent
     *     late
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
            // An incarnation that outlives a lease must have received an answer in the meantime.
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

    /**
     * Records the commands of an answer that is sent now. One of them becomes the probe: a start is the strongest
     * evidence, a stop the weakest.
     */
    void recordAnswer(List<WorkerCommand> commands, Moment now) {
        answerSentAt = now;
        for (WorkerCommand command : commands) {
            if (probe == null || command instanceof WorkerCommand.Start || probe instanceof WorkerCommand.Stop) {
                probe = command;
            }
        }
    }

    /** Whether the machine missed the last answer. */
    boolean isSuspected() {
        return missedAnswers > 0;
    }

    /** Whether it is established that answers do not reach the machine, so that it gets no new work. */
    boolean isConfirmed() {
        return confirmed;
    }

    /** When the first of the missed answers was sent. */
    Moment firstMissedSentAt() {
        return firstMissedSentAt;
    }

    /** Number of consecutive missed answers. */
    int missedAnswers() {
        return missedAnswers;
    }
}
