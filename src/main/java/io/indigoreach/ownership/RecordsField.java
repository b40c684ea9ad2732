package io.indigoreach.ownership;

import io.indigoreach.api.RequestRejectedException;
import io.indigoreach.api.SubmissionParticipant;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.ownership.Grant;
import io.indigoreach.core.ownership.Registry;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.state.RoutineRunner;
import io.vertx.core.Future;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

/**
 * The records that a job names: prepared here, and made the job's own by one change of its claim in the acceptance's own
 * transaction, on however many pages they lie.
 */
final class RecordsField implements SubmissionParticipant {
    private final RoutineRunner records;
    private final Registry registry;
    private final int most;

    /** A user asks again every few seconds, and thousands of records take longer: two at work would refuse each other's writes. */
    private final Map<JobId, Future<Transaction>> preparing = new HashMap<>();

    RecordsField(RoutineRunner records, Registry registry, int most) {
        this.records = records;
        this.registry = registry;
        this.most = most;
    }

    @Override
    public String field() {
        return JobSpec.RECORDS;
    }

    @Override
    public void validate(JobSpec spec) {
        RecordsCodec.readField(spec);
    }

    @Override
    public Future<Transaction> prepareAcceptance(JobSpec spec) {
        Future<Transaction> known = preparing.get(spec.id());
        if (known != null) {
            return known;
        }
        Future<Transaction> begun = records.run(
                        new Grant(registry, most, spec.id().text(), RecordsCodec.readField(spec), new BitSet(), true))
                .compose(given -> given.never().isEmpty()
                        ? Future.succeededFuture(given.commit())
                        : Future.failedFuture(
                                RequestRejectedException.of(JobSpec.RECORDS, String.join("; ", given.never()))));
        preparing.put(spec.id(), begun);
        begun.onComplete(r -> preparing.remove(spec.id()));
        return begun;
    }

    @Override
    public void onAccepted(Transaction change, Revision stamp) {
        records.written(change, stamp);
    }
}
