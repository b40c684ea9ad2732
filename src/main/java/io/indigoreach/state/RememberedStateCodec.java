package io.indigoreach.state;

import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.records.VersionedRecord;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Encodes the job state that a controller remembers for a peer that rebuilds lost records, split into parts. */
public final class RememberedStateCodec {
    private static final int JOBS_PER_PART = 200;
    /** Records of optional features may be as large as the state service allows. */
    private static final int RECORDS_PER_PART = 20;

    private RememberedStateCodec() {}

    /** Encodes the part with this number, counted from 0. */
    public static Map<String, Object> write(RememberedState rememberedState, int part) {
        List<Object> encodedFinishedJobs = new ArrayList<>();
        rememberedState.finishedJobs().entrySet().stream()
                .skip((long) part * JOBS_PER_PART)
                .limit(JOBS_PER_PART)
                .forEach(e -> encodedFinishedJobs.add(MessagePackFormat.map(
                        "id",
                        e.getKey().text(),
                        "status",
                        e.getValue().status().name(),
                        "done",
                        e.getValue().completedTaskCount())));
        List<Object> encodedOpenJobs = new ArrayList<>();
        rememberedState.openJobs().stream()
                .skip((long) part * JOBS_PER_PART)
                .limit(JOBS_PER_PART)
                .forEach(job -> encodedOpenJobs.add(MessagePackFormat.map(
                        "id",
                        job.spec().id().text(),
                        "job",
                        JobRecordCodec.writeJob(
                                job.spec(), job.submittedMs(), JobStatus.PENDING, job.done(), 0, job.startBound()))));
        List<Object> records = new ArrayList<>();
        rememberedState.records().stream()
                .skip((long) part * RECORDS_PER_PART)
                .limit(RECORDS_PER_PART)
                .forEach(k -> records.add(MessagePackFormat.map("key", k.key(), "value", k.value())));
        Map<String, Object> message = MessagePackFormat.map(
                "over",
                encodedFinishedJobs,
                "open",
                encodedOpenJobs,
                "more",
                Math.max(
                                        rememberedState.finishedJobs().size(),
                                        rememberedState.openJobs().size())
                                > (part + 1) * JOBS_PER_PART
                        || rememberedState.records().size() > (part + 1) * RECORDS_PER_PART);
        if (!records.isEmpty()) {
            message.put("records", records);
        }
        return message;
    }

    /** Adds the content of a part to {@code into}; true if there are further parts. */
    public static boolean read(Fields body, RememberedState into) {
        for (Fields item : body.children("over")) {
            into.add(
                    new JobId(item.text("id")),
                    new RememberedState.FinishedJob(
                            JobStatus.valueOf(item.text("status")), (int) item.wholeNumber("done")));
        }
        for (Fields item : body.children("open")) {
            JobRecord record = JobRecordCodec.readJob(new JobId(item.text("id")), item.child("job"), Revision.ABSENT);
            into.add(new RememberedState.OpenJob(
                    record.spec(), record.submittedMs(), record.done(), record.startBound()));
        }
        for (Fields item : body.children("records")) {
            into.add(new VersionedRecord(item.text("key"), item.child("value").map(), Revision.ABSENT));
        }
        return body.flag("more", false);
    }
}
