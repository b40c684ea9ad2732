package io.indigoreach.ownership;

import io.indigoreach.api.Joining;
import io.indigoreach.api.Refusal;
import io.indigoreach.core.JobId;
import io.indigoreach.core.JobSpec;
import io.indigoreach.core.Stamp;
import io.indigoreach.core.ownership.Grant;
import io.indigoreach.core.ownership.Registry;
import io.indigoreach.core.records.Change;
import io.indigoreach.state.Records;
import io.vertx.core.Future;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

/**
 * The records that a job names: prepared here, and made the job's own by one change of its claim in the acceptance's own
 * transaction, on however many pages they lie.
 */
final class RecordsField implements Joining {
    private final Records records;
    private final Registry registry;
    private final int most;

    /** A user asks again every few seconds, and thousands of records take longer: two at work would refuse each other's writes. */
    private final Map<JobId, Future<Change>> preparing = new HashMap<>();

    RecordsField(Records records, Registry registry, int most) {
        this.records = records;
        this.registry = registry;
        this.most = most;
    }

    @Override
    public String field() {
        return JobSpec.RECORDS;
    }

    @Override
    public void check(JobSpec spec) {
        RecordsCodec.readField(spec);
    }

    @Override
    public Future<Change> accepting(JobSpec spec) {
        Future<Change> known = preparing.get(spec.id());
        if (known != null) {
            return known;
        }
        Future<Change> begun = records.run(
                        new Grant(registry, most, spec.id().text(), RecordsCodec.readField(spec), new BitSet(), true))
                .compose(given -> given.never().isEmpty()
                        ? Future.succeededFuture(given.commit())
                        : Future.failedFuture(Refusal.of(JobSpec.RECORDS, String.join("; ", given.never()))));
        preparing.put(spec.id(), begun);
        begun.onComplete(r -> preparing.remove(spec.id()));
        return begun;
    }

    @Override
    public void accepted(Change change, Stamp stamp) {
        records.wrote(change, stamp);
    }
}
