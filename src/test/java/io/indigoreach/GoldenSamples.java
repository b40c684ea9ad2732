package io.indigoreach;

import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.net.MessagePackFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Sample jobs and machine types of golden files. Changes here would change the bytes in these files. */
public final class GoldenSamples {
    public static final JobId JOB_ID = new JobId("run-000412");
    /** A time of day, in milliseconds since 1970. */
    public static final long TIME_OF_DAY_MS = 1_700_000_000_123L;

    public static final List<MachineType> MACHINE_TYPES = List.of(
            new MachineType("quad", new Resources(4, 0, 16), 40, 0.5, 1, 0.3, Span.seconds(20), List.of("a", "b")),
            new MachineType("g8", new Resources(32.5, 8, 256), 500, 2, 12.25, 0, Span.seconds(90.5), List.of()));

    private GoldenSamples() {}

    /** Returns a job without optional fields except the estimate. */
    public static JobSpec minimalJob(int tasks) {
        return JobSpec.builder(JOB_ID)
                .jobClass("stock-reconcile")
                .team("fleet-ops")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.HIGH)
                .taskCount(tasks)
                .demand(new Resources(1, 0, 3.6))
                .image("image")
                .imageGb(0.9)
                .estimatedRunTime(Span.seconds(18))
                .build();
    }

    /** Returns a job with every field except those of the optional parts. */
    public static JobSpec fullJob(int tasks, Urgency urgency) {
        return JobSpec.builder(JOB_ID)
                .jobClass("refill-routes")
                .team("fleet-ops")
                .kind(JobKind.SERVICE)
                .urgency(urgency)
                .taskCount(tasks)
                .demand(new Resources(2.5, 1, 3.8))
                .image("image")
                .imageGb(1)
                .machineTypes(List.of("quad", "g8"))
                .zone("a")
                .singleZone()
                .spreadOverZones()
                .spotAllowed()
                .estimatedRunTime(Span.seconds(25))
                .checkpointInterval(Span.seconds(30))
                .checkpointDuration(Span.seconds(4))
                .relativeDeadline(Span.seconds(900.25))
                .build();
    }

    /** Returns jobs of every kind by their descriptions. */
    public static Map<String, JobSpec> jobs() {
        Map<String, JobSpec> jobs = new LinkedHashMap<>();
        jobs.put("bare", minimalJob(100));
        for (Urgency urgency : Urgency.values()) {
            jobs.put("every field, urgency " + urgency.ordinal(), fullJob(6, urgency));
        }
        jobs.put(
                "chained",
                minimalJob(4).with(JobDependencies.of(List.of(new JobId("run-000398"), new JobId("run-7")))));
        jobs.put(
                "of a plan",
                fullJob(2, Urgency.STANDARD)
                        .with("plan", MessagePackFormat.map("name", "kochi-tankers", "day", "2027-08-24")));
        jobs.put(
                "with records",
                minimalJob(3)
                        .with(
                                JobSpec.RECORDS_FIELD,
                                MessagePackFormat.map("prefix", "KL-1/farm-", "from", 1L, "to", 3L)));
        jobs.put("holder", minimalJob(2).with(JobSpec.WARM_POOL_FIELD, "model-a"));
        jobs.put(
                "chained, with records and a plan",
                minimalJob(1)
                        .with(JobSpec.RECORDS_FIELD, MessagePackFormat.map("ids", List.of("a/1")))
                        .with("plan", MessagePackFormat.map("name", "p", "day", "2027-08-24"))
                        .with(JobDependencies.of(List.of(new JobId("run-1")))));
        return jobs;
    }

    /** Returns a submission as another client may encode it: with integers for amounts, absent and null fields, and an unknown field. */
    public static Map<String, Object> submission() {
        return MessagePackFormat.map(
                "id",
                JOB_ID.text(),
                "jobclass",
                "c",
                "owner",
                "t",
                "shape",
                "array",
                "urgency",
                "standard",
                "pieces",
                2L,
                "cores",
                1L,
                "gpus",
                0L,
                "ram_gb",
                1.5,
                "bundle",
                "image",
                "pull_gb",
                1L,
                "boxkinds",
                null,
                "one_zone",
                false,
                "spread",
                false,
                "loaners",
                true,
                "expected_s",
                10L,
                "snapshot_every_s",
                0L,
                "snapshot_s",
                0L,
                "due_s",
                null,
                "some_new_field",
                List.of(1L));
    }
}
