package io.indigoreach.scenario;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import java.util.List;
import java.util.Map;

/** A job as people write it down to submit it. */
public record JobFile(
        @Setting(value = "id, run- and digits; empty: one is made up", standard = "")
        String id,

        @Setting("class of jobs it belongs to, for which aims are set")
        String jobClass,

        @Setting("team that it counts for") String team,

        @Setting(value = "array: each task runs to its end; service: until it is cancelled", standard = "array")
        JobKind shape,

        @Setting(value = "priority", standard = "standard") Urgency urgency,

        @Setting(value = "tasks", standard = "1", least = 1, most = 100_000)
        int tasks,

        @Setting(value = "cores of a task", standard = "1") double cores,

        @Setting(value = "accelerators of a task", standard = "0")
        double gpus,

        @Setting(value = "memory of a task, GB", standard = "1")
        double ramGb,

        @Setting("image that a task needs") String image,

        @Setting(value = "size of the image, GB", standard = "0")
        double imageGb,

        @Setting("allowed machine types; none: any") List<String> machineType,

        @Setting(value = "the only allowed zone; empty: any", standard = "")
        String zone,

        @Setting(value = "all tasks in one zone", standard = "false")
        boolean oneZone,

        @Setting(value = "at most half of the tasks in one zone", standard = "false")
        boolean spread,

        @Setting(value = "may use spot machines", standard = "true")
        boolean spot,

        @Setting(value = "estimated run time of a task, s; 0 for services", standard = "0")
        double estimateS,

        @Setting(value = "a checkpoint every, s of progress; 0: none", standard = "0")
        double checkpointEveryS,

        @Setting(value = "time to save when stopped, s", standard = "0")
        double checkpointS,

        @Setting(value = "complete within, s of the submission; 0: no deadline", standard = "0")
        double dueS,

        @Setting(value = "records that it bills, a range of a group: this and a number; empty: none", standard = "")
        String recordsPrefix,

        @Setting(value = "first number", standard = "0") int recordsFrom,
        @Setting(value = "last number", standard = "0") int recordsTo,

        @Setting(value = "emulator only: what a task really takes, s; 0: as estimated", standard = "0")
        double emulatedS,

        @Setting(value = "emulator only: every task fails", standard = "false")
        boolean emulatedFails,

        @Setting(value = "holds the image of this warm pool; empty: none", standard = "")
        String warm) {

    public JobFile {
        if (!id.isEmpty() && !JobId.isValid(id)) {
            throw new IllegalArgumentException("id: must be run- and up to 18 digits");
        }
    }

    /** The job, with {@code made} as its id if the file names none. */
    public JobSpec spec(JobId made) {
        JobSpec spec = JobSpec.builder(id.isEmpty() ? made : new JobId(id))
                .jobClass(jobClass)
                .team(team)
                .kind(shape)
                .urgency(urgency)
                .taskCount(tasks)
                .demand(new Resources(cores, gpus, ramGb))
                .image(image)
                .imageGb(imageGb)
                .machineTypes(machineType.isEmpty() ? null : machineType)
                .zone(zone.isEmpty() ? null : zone)
                .singleZone(oneZone)
                .spreadOverZones(spread)
                .spotAllowed(spot)
                .estimatedRunTime(Span.seconds(estimateS))
                .checkpointInterval(Span.seconds(checkpointEveryS))
                .checkpointDuration(Span.seconds(checkpointS))
                .relativeDeadline(dueS <= 0 ? null : Span.seconds(dueS))
                .build();
        JobSpec guarded = recordsPrefix.isEmpty()
                ? spec
                : spec.with(
                        JobSpec.RECORDS_FIELD,
                        Map.of("prefix", recordsPrefix, "from", (long) recordsFrom, "to", (long) recordsTo));
        return warm.isEmpty() ? guarded : guarded.with(JobSpec.WARM_POOL_FIELD, warm);
    }
}
