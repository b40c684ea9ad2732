package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Commands that a leader sends outside heartbeat answers in a {@link RandomSimulation}, which the product never does.
 * Each is executed once, 2 s to 16 s later, without an answer, unless the worker has a higher token or another
 * incarnation by then.
 */
final class LateCommands {
    private static final double MIN_DELAY_S = 2;
    private static final double DELAY_RANGE_S = 14;

    /** Commands in transit to a worker. */
    record CommandsInTransit(
            String machine, long incarnation, long token, List<WorkerCommand> commands, double dueAt) {}

    private final Random random;
    private final List<CommandsInTransit> inTransit = new ArrayList<>();

    LateCommands(Random random) {
        this.random = random;
    }

    void send(String machine, long incarnation, long token, List<WorkerCommand> commands, double now) {
        double dueAt = now + MIN_DELAY_S + DELAY_RANGE_S * random.nextDouble();
        inTransit.add(new CommandsInTransit(machine, incarnation, token, commands, dueAt));
    }

    /** Removes and returns the commands that reach this machine now. */
    List<CommandsInTransit> takeArriving(String machine, double now) {
        List<CommandsInTransit> arriving = inTransit.stream()
                .filter(candidate -> candidate.dueAt <= now && candidate.machine.equals(machine))
                .toList();
        inTransit.removeAll(arriving);
        return arriving;
    }
}
