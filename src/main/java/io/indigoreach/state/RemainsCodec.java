package io.indigoreach.state;

import io.indigoreach.core.JobId;
import io.indigoreach.core.JobStatus;
import io.indigoreach.core.Stamp;
import io.indigoreach.core.loss.Remains;
import io.indigoreach.core.records.Kept;
import io.indigoreach.net.Fields;
import io.indigoreach.net.Wire;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What a controller remembers of jobs, as it tells it to another, a part at a time. */
public final class RemainsCodec {
    private static final int PART = 200;
    /** Records of the parts beside the jobs may be as large as the state service takes. */
    private static final int RECORDS = 20;

    private RemainsCodec() {}

    /** The {@code part}-th part, counted from 0. */
    public static Map<String, Object> write(Remains remains, int part) {
        List<Object> over = new ArrayList<>();
        remains.over().entrySet().stream()
                .skip((long) part * PART)
                .limit(PART)
                .forEach(e -> over.add(Wire.map(
                        "id",
                        e.getKey().text(),
                        "status",
                        e.getValue().status().name(),
                        "done",
                        e.getValue().done())));
        List<Object> open = new ArrayList<>();
        remains.open().stream()
                .skip((long) part * PART)
                .limit(PART)
                .forEach(job -> open.add(Wire.map(
                        "id",
                        job.spec().id().text(),
                        "job",
                        RecordCodec.writeJob(
                                job.spec(), job.submittedMs(), JobStatus.PENDING, job.done(), 0, job.bound()))));
        List<Object> records = new ArrayList<>();
        remains.records().stream()
                .skip((long) part * RECORDS)
                .limit(RECORDS)
                .forEach(k -> records.add(Wire.map("key", k.key(), "value", k.value())));
        Map<String, Object> map = Wire.map(
                "over",
                over,
                "open",
                open,
                "more",
                Math.max(remains.over().size(), remains.open().size()) > (part + 1) * PART
                        || remains.records().size() > (part + 1) * RECORDS);
        if (!records.isEmpty()) {
            map.put("records", records);
        }
        return map;
    }

    /** Adds a part to what is known; true if there are more. */
    public static boolean read(Fields f, Remains into) {
        for (Fields e : f.children("over")) {
            into.add(new JobId(e.text("id")), new Remains.Over(JobStatus.valueOf(e.text("status")), (int)
                    e.whole("done")));
        }
        for (Fields e : f.children("open")) {
            JobRecord r = RecordCodec.readJob(new JobId(e.text("id")), e.child("job"), Stamp.ABSENT);
            into.add(new Remains.Open(r.spec(), r.submittedMs(), r.done(), r.bound()));
        }
        for (Fields e : f.children("records")) {
            into.add(new Kept(e.text("key"), e.child("value").map(), Stamp.ABSENT));
        }
        return f.flag("more", false);
    }
}
