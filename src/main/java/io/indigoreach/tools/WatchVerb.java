package io.indigoreach.tools;

import io.indigoreach.api.JobCodec;
import io.indigoreach.config.ConfigException;
import io.indigoreach.core.model.JobId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Follows jobs until they are over. */
@Command(
        name = "watch",
        mixinStandardHelpOptions = true,
        description = "Prints a line whenever a job's state changes, until all are over.",
        footer = {"", "Example:", "  indigoreach watch run-000412 run-000413"})
final class WatchVerb implements Callable<Integer> {
    private static final long POLL_MS = 1000;

    @Mixin
    private Cluster.Choice cluster;

    @Parameters(arity = "0..*", paramLabel = "ID", description = "the jobs' ids; none: all that are open now")
    private List<String> ids;

    @Override
    public Integer call() throws ConfigException, InterruptedException {
        try (Cluster c = cluster.open()) {
            List<JobId> jobs = new ArrayList<>();
            if (ids == null || ids.isEmpty()) {
                c.openJobs().forEach(record -> jobs.add(record.id()));
            } else {
                for (String id : ids) {
                    if (!JobId.isValid(id)) {
                        throw new Failure(Tool.USAGE, "not a job's id: " + id + "; it is run- and digits");
                    }
                    jobs.add(new JobId(id));
                }
            }
            return follow(c, jobs, cluster.json);
        }
    }

    static int follow(Cluster c, List<JobId> jobs, boolean json) throws InterruptedException {
        List<JobId> open = new ArrayList<>(jobs);
        Map<JobId, JobCodec.Progress> shown = new HashMap<>();
        while (true) {
            for (JobId id : List.copyOf(open)) {
                JobCodec.Progress p = c.status(id);
                if (p == null) {
                    throw new Failure(Tool.WRONG, "no such job: " + id);
                }
                if (!p.equals(shown.put(id, p))) {
                    System.out.println(Lines.of(p, json));
                }
                if (p.status().isFinal()) {
                    open.remove(id);
                }
            }
            if (open.isEmpty()) {
                return Tool.DONE;
            }
            Thread.sleep(POLL_MS);
        }
    }
}
