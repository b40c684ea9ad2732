package io.indigoreach.state;

import io.indigoreach.core.loss.RecordRepair;
import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.WireException;
import java.util.BitSet;
import java.util.Map;

/** Encodes and decodes the records of open and finished jobs. */
public final class JobRecordCodec {
    /**
     * The value of an open job's record.
     *
     * @param done the completed tasks; written into the record for small jobs only
     * @param running the number of tasks that run now, for display
     * @param startBound the start bound: this task and all later ones have never been started
     */
    public static Map<String, Object> writeJob(
            JobSpec spec, long submittedMs, JobStatus status, BitSet done, int running, int startBound) {
        Map<String, Object> map = requiredFields(spec);
        map.put("at", submittedMs);
        map.put("status", status.name());
        map.put("done", done.cardinality());
        map.put("running", running);
        map.put("bound", startBound);
        putOptional(map, spec, done);
        return map;
    }

    private static Map<String, Object> requiredFields(JobSpec spec) {
        return MessagePackFormat.map(
                "class",
                spec.jobClass(),
                "team",
                spec.team(),
                "shape",
                spec.kind().name(),
                "urgency",
                spec.urgency().name(),
                "tasks",
                spec.taskCount(),
                "cores",
                spec.demand().cores(),
                "gpus",
                spec.demand().gpus(),
                "ram",
                spec.demand().ramGb(),
                "image",
                spec.image(),
                "gb",
                spec.imageGb(),
                "est",
                spec.estimatedRunTime().ms());
    }

    /** Adds the fields that differ from their default, in this order. */
    private static void putOptional(Map<String, Object> map, JobSpec spec, BitSet done) {
        putIf(map, "types", spec.machineTypes(), spec.machineTypes() != null);
        putIf(map, "zone", spec.zone(), spec.zone() != null);
        putIf(map, "one_zone", true, spec.singleZone());
        putIf(map, "spread", true, spec.spreadOverZones());
        putIf(map, "spot", true, spec.spotAllowed());
        putIf(
                map,
                "save_every",
                spec.checkpointInterval().ms(),
                spec.checkpointInterval().ms() > 0);
        putIf(
                map,
                "save",
                spec.checkpointDuration().ms(),
                spec.checkpointDuration().ms() > 0);
        putIf(
                map,
                "due",
                spec.relativeDeadline() == null ? null : spec.relativeDeadline().ms(),
                spec.relativeDeadline() != null);
        putIf(
                map,
                "more",
                DependencyCodec.write(spec.extensions(), spec.dependencies()),
                !spec.extensions().isEmpty() || !spec.dependencies().isEmpty());
        putIf(
                map,
                CompletionBlockCodec.BITS_FIELD,
                spec.taskCount() <= CompletionBlockCodec.MAX_TASKS_IN_RECORD ? CompletionBlockCodec.encode(done) : null,
                spec.taskCount() <= CompletionBlockCodec.MAX_TASKS_IN_RECORD && !done.isEmpty());
    }

    private static void putIf(Map<String, Object> map, String key, Object value, boolean present) {
        if (present) {
            map.put(key, value);
        }
    }

    /** Decodes an open job's record; throws {@link WireException} if it is malformed. */
    public static JobRecord readJob(JobId id, Fields fields, Revision revision) {
        return RecordReader.read(() -> decodeJob(id, fields, revision));
    }

    /** Decodes the fields that are readable in a malformed record; the others are null. */
    public static RecordRepair.ReadableFields readReadableFields(Fields fields) {
        return new RecordRepair.ReadableFields(
                RecordReader.readOrNull(() -> JobStatus.valueOf(fields.text("status"))),
                RecordReader.readOrNull(() -> fields.wholeNumber("done")),
                RecordReader.readOrNull(() -> fields.wholeNumber("at")));
    }

    private static JobRecord decodeJob(JobId id, Fields fields, Revision revision) {
        if (fields.wholeNumber("tasks") < 1) {
            throw Fields.invalid("tasks");
        }
        JobSpec spec = decodeSpec(id, fields);
        return new JobRecord(
                spec,
                fields.wholeNumber("at"),
                JobStatus.valueOf(fields.text("status")),
                CompletionBlockCodec.decode(fields.optionalText(CompletionBlockCodec.BITS_FIELD)),
                (int) fields.wholeNumber("done", 0),
                (int) fields.wholeNumber("running", 0),
                (int) fields.wholeNumber("bound", spec.taskCount()),
                revision);
    }

    private static JobSpec decodeSpec(JobId id, Fields fields) {
        return new JobSpec(
                id,
                fields.text("class"),
                fields.text("team"),
                JobKind.valueOf(fields.text("shape")),
                Urgency.valueOf(fields.text("urgency")),
                (int) fields.wholeNumber("tasks"),
                new Resources(fields.number("cores"), fields.number("gpus"), fields.number("ram")),
                fields.text("image"),
                fields.number("gb"),
                fields.optionalTexts("types"),
                fields.optionalText("zone"),
                fields.flag("one_zone", false),
                fields.flag("spread", false),
                fields.flag("spot", false),
                new Span(fields.wholeNumber("est")),
                new Span(fields.wholeNumber("save_every", 0)),
                new Span(fields.wholeNumber("save", 0)),
                fields.has("due") ? new Span(fields.wholeNumber("due")) : null,
                fields.has("more")
                        ? DependencyCodec.withoutDependencies(
                                fields.child("more").map())
                        : Map.of(),
                fields.has("more") ? DependencyCodec.read(fields.child("more")) : JobDependencies.NONE);
    }

    /** The value of a finished job's record. */
    public static Map<String, Object> writeFinal(JobStatus status, int done) {
        return MessagePackFormat.map("status", status.name(), "done", done);
    }

    /** Decodes a finished job's record; throws {@link WireException} if it is malformed. */
    public static FinalRecord readFinal(JobId id, Fields fields) {
        return RecordReader.read(() ->
                new FinalRecord(id, JobStatus.valueOf(fields.text("status")), (int) fields.wholeNumber("done", 0)));
    }

    private JobRecordCodec() {}
}
