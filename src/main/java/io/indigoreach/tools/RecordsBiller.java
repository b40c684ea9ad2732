package io.indigoreach.tools;

import io.indigoreach.net.MessagePackFormat;
import java.util.Map;
import picocli.CommandLine.Option;

/** An export run, or a job's task. */
final class RecordsBiller {
    @Option(names = "--run", description = "the export run: a name used for one claim, and never again")
    private String run;

    @Option(names = "--job", description = "the job, with --task")
    private String job;

    @Option(names = "--task", description = "the task's number")
    private Long task;

    @Option(
            names = "--attempt",
            defaultValue = "0",
            description = "raised by a run or task that was begun again (default 0)")
    private long attempt;

    Map<String, Object> body() {
        return MessagePackFormat.map("run", run, "job", job, "task", task, "attempt", attempt);
    }
}
