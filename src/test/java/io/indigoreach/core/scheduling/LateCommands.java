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
    private static final double LEAST_DELAY_S = 2;
    private static final double DELAY_RANGE_S = 14;

    /** Commands in transit to a worker. */
    record Command(String machine, long session, long token, List<WorkerCommand> orders, double due) {}

    private final Random random;
    private final List<Command> onTheWay = new ArrayList<>();

    LateCommands(Random random) {
        this.random = random;
    }

    void send(String machine, long session, long token, List<WorkerCommand> orders, double now) {
        double due = now + LEAST_DELAY_S + DELAY_RANGE_S * random.nextDouble();
        onTheWay.add(new Command(machine, session, token, orders, due));
    }

    /** Removes and returns the commands that reach this machine now. */
    List<Command> arriving(String machine, double now) {
        List<Command> here = onTheWay.stream()
                .filter(c -> c.due <= now && c.machine.equals(machine))
                .toList();
        onTheWay.removeAll(here);
        return here;
    }
}
