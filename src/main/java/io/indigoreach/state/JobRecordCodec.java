package io.indigoreach.state;

import io.indigoreach.core.loss.RecordRepair;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.WireException;
import java.util.BitSet;
import java.util.Map;

/** The records of jobs: open ones, and those that are over. */
public final class JobRecordCodec {
    /**
     * The value of an open job's record.
     *
     * @param done which tasks are completed; written into the record for small jobs only
     * @param running how many tasks run now, for display
     * @param bound the start bound: no task from this one on was ever started
     */
    public static Map<String, Object> writeJob(
            JobSpec spec, long submittedMs, JobStatus status, BitSet done, int running, int bound) {
        Map<String, Object> map = required(spec);
        map.put("at", submittedMs);
        map.put("status", status.name());
        map.put("done", done.cardinality());
        map.put("running", running);
        map.put("bound", bound);
        putOptional(map, spec, done);
        return map;
    }

    private static Map<String, Object> required(JobSpec spec) {
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
                spec.tasks(),
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
                spec.estimate().ms());
    }

    /** Fields that are written only where they differ from the default, in this order. */
    private static void putOptional(Map<String, Object> map, JobSpec spec, BitSet done) {
        putIf(map, "types", spec.types(), spec.types() != null);
        putIf(map, "zone", spec.zone(), spec.zone() != null);
        putIf(map, "one_zone", true, spec.oneZone());
        putIf(map, "spread", true, spec.spread());
        putIf(map, "spot", true, spec.spotAllowed());
        putIf(
                map,
                "save_every",
                spec.checkpointEvery().ms(),
                spec.checkpointEvery().ms() > 0);
        putIf(map, "save", spec.checkpointTime().ms(), spec.checkpointTime().ms() > 0);
        putIf(map, "due", spec.due() == null ? null : spec.due().ms(), spec.due() != null);
        putIf(
                map,
                "more",
                DependencyCodec.write(spec.more(), spec.dependencies()),
                !spec.more().isEmpty() || !spec.dependencies().isEmpty());
        putIf(
                map,
                CompletionBlockCodec.BITS_FIELD,
                spec.tasks() <= CompletionBlockCodec.MAX_TASKS_IN_RECORD ? CompletionBlockCodec.encode(done) : null,
                spec.tasks() <= CompletionBlockCodec.MAX_TASKS_IN_RECORD && !done.isEmpty());
    }

    private static void putIf(Map<String, Object> map, String key, Object value, boolean present) {
        if (present) {
            map.put(key, value);
        }
    }

    /** Throws {@link WireException} if it cannot be read. */
    public static JobRecord readJob(JobId id, Fields fields, Revision revision) {
        return RecordReader.read(() -> job(id, fields, revision));
    }

    /** What a record that cannot be read as a whole still says; null where it does not. */
    public static RecordRepair.ReadableFields readRest(Fields fields) {
        return new RecordRepair.ReadableFields(
                RecordReader.orNull(() -> JobStatus.valueOf(fields.text("status"))),
                RecordReader.orNull(() -> fields.wholeNumber("done")),
                RecordReader.orNull(() -> fields.wholeNumber("at")));
    }

    private static JobRecord job(JobId id, Fields fields, Revision revision) {
        if (fields.wholeNumber("tasks") < 1) {
            throw Fields.invalid("tasks");
        }
        JobSpec spec = spec(id, fields);
        return new JobRecord(
                spec,
                fields.wholeNumber("at"),
                JobStatus.valueOf(fields.text("status")),
                CompletionBlockCodec.decode(fields.optionalText(CompletionBlockCodec.BITS_FIELD)),
                (int) fields.wholeNumber("done", 0),
                (int) fields.wholeNumber("running", 0),
                (int) fields.wholeNumber("bound", spec.tasks()),
                revision);
    }

    private static JobSpec spec(JobId id, Fields fields) {
        return new JobSpec(
                id,
                fields.text("class"),
                fields.text("team"),
                JobKind.valueOf(fields.text("shape")),
                Urgency.valueOf(fields.text("urgency")),
                (int) fields.wholeNumber("tasks"),
                new Demand(fields.number("cores"), fields.number("gpus"), fields.number("ram")),
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
                        ? DependencyCodec.without(fields.child("more").map())
                        : Map.of(),
                fields.has("more") ? DependencyCodec.read(fields.child("more")) : JobDependencies.NONE);
    }

    /** The value of the record of a job that is over. */
    public static Map<String, Object> writeFinal(JobStatus status, int done) {
        return MessagePackFormat.map("status", status.name(), "done", done);
    }

    /** Throws {@link WireException} if it cannot be read. */
    public static FinalRecord readFinal(JobId id, Fields fields) {
        return RecordReader.read(() ->
                new FinalRecord(id, JobStatus.valueOf(fields.text("status")), (int) fields.wholeNumber("done", 0)));
    }

    private JobRecordCodec() {}
}
