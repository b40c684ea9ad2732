package io.indigoreach.api;

import io.indigoreach.cloud.Catalogue;
import io.indigoreach.core.leadership.ConfirmedCancellations;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.core.scheduling.Admission;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.net.WireException;
import io.indigoreach.state.CompletionBits;
import io.indigoreach.state.FinalRecord;
import io.indigoreach.state.JobRecord;
import io.indigoreach.state.JobRepairer;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves the users at any node: each answer rests on the state service, except that a job once seen to be over stays
 * so and is answered from memory. Nobody is given an older answer by one node than by another.
 */
public final class JobService {
    private static final Logger LOG = LoggerFactory.getLogger(JobService.class);
    private static final int MAX_FINISHED_REMEMBERED = 20_000;
    private static final int MAX_ACCEPTED_REMEMBERED = 5_000;
    private static final int MOST_TRIES = 3;

    private final StateClient state;
    private final Catalogue catalogue;
    private final Collection<Team> teams;
    private final SteadyClock clock;
    private final int valueBytes;
    private final JobReadBatcher queryReads;
    private final JobRepairer repairer;
    private final ConfirmedCancellations confirmedCancellations;
    private final DependencyService dependencies;
    private List<SubmissionParticipant> participants = List.of();
    private Function<JobId, Future<Boolean>> isKnownToPeers = id -> Future.succeededFuture(false);
    private final Map<JobId, FinalRecord> finished = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, FinalRecord> eldest) {
            return size() > MAX_FINISHED_REMEMBERED;
        }
    };

    /** Jobs accepted at this node that are not known to be over: what a loss of data would take, and none else may know. */
    private final Map<JobId, RememberedState.OpenJob> accepted = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, RememberedState.OpenJob> eldest) {
            return size() > MAX_ACCEPTED_REMEMBERED;
        }
    };

    /** A job's state: open, over, or both null if it was never accepted. */
    private record StoredJob(JobRecord open, FinalRecord over) {}

    /** {@code questionsPerS}: requests to the state service that this node may spend on users' questions. */
    public JobService(
            Vertx vertx,
            StateClient state,
            JobRepairer repairer,
            Catalogue catalogue,
            Collection<Team> teams,
            SteadyClock clock,
            int valueBytes,
            double questionsPerS) {
        this.state = state;
        this.repairer = repairer;
        this.catalogue = catalogue;
        this.teams = teams;
        this.clock = clock;
        this.confirmedCancellations = new ConfirmedCancellations(clock.now());
        this.valueBytes = valueBytes;
        this.queryReads = new JobReadBatcher(vertx, state, clock, questionsPerS);
        CascadeFreshness doubt = new CascadeFreshness(clock, state::isDoubted);
        state.onFailure(doubt::requestFailed);
        this.dependencies = new DependencyService(
                clock, id -> lookUpReferenced(id, this::readOpen), id -> lookUpReferenced(id, queryReads::read), doubt);
    }

    /** Throws {@link io.indigoreach.net.WireException} if the job is malformed. */
    public Future<ApiResponse> submit(Buffer body) {
        JobSpec spec = JobCodec.read(MessagePackFormat.readMap(body));
        participants.stream().filter(j -> spec.more().containsKey(j.field())).forEach(j -> j.check(spec));
        FinalRecord known = finished.get(spec.id());
        if (known != null) {
            return Future.succeededFuture(ApiResponse.ok(JobCodec.accepted(spec.id(), known.status())));
        }
        if (!catalogue.isKnown()) {
            return Future.succeededFuture(ApiResponse.retryLater("the machine types are not known yet"));
        }
        String refusal = Admission.refusal(spec, teams, catalogue.types());
        if (refusal == null && !spec.more().isEmpty()) {
            refusal = spec.more().keySet().stream()
                    .filter(f -> participants.stream().noneMatch(j -> j.field().equals(f)))
                    .findFirst()
                    .map(f -> f + ": this is not switched on here")
                    .orElse(null);
        }
        long now = clock.timeOfDay();
        Map<String, Object> record =
                RecordCodec.writeJob(spec, now, JobStatus.PENDING, new BitSet(), 0, firstBound(spec));
        int bytes = CompletionBits.recordBytes(spec, now);
        int room = state.limits().room(valueBytes);
        if (refusal == null && bytes > room) {
            refusal = "the description is too long: " + bytes + " bytes, of at most " + room;
            if (!spec.dependencies().isEmpty()) {
                return ifUnknown(spec.id(), ApiResponse.error(400, refusal + ", with the jobs named"));
            }
        }
        if (refusal != null) {
            // Whatever was accepted once stays accepted, even under limits that have become stricter since.
            return ifUnknown(spec.id(), ApiResponse.error(422, refusal));
        }
        return dependencies
                .isBornCancelled(spec.dependencies())
                .compose(
                        cancelled -> accept(spec, record, cancelled, now, 1),
                        e -> e instanceof RequestRejectedException r
                                ? ifUnknown(spec.id(), r.answer())
                                : e instanceof DependencyService.DependencyUnknownException
                                        ? ifUnknown(spec.id(), ApiResponse.retryLater(e.getMessage()))
                                        : ifUnknown(
                                                spec.id(),
                                                ApiResponse.retryLater("a job that this one names cannot be read")));
    }

    /**
     * Of a flood of single tasks each would cost one change more to raise its bound than to be accepted. With the bound set
     * at once, a later leader starts those that wait only when it has heard all machines.
     */
    private static int firstBound(JobSpec spec) {
        // Nothing of a chained job is ordered before its release, and the write of its bound is what records that.
        return spec.tasks() == 1 && !spec.isService() && spec.dependencies().isEmpty() ? 1 : 0;
    }

    /** Whatever was accepted once stays accepted: its state, or {@code otherwise} if it never was. */
    private Future<ApiResponse> ifUnknown(JobId id, ApiResponse otherwise) {
        return find(id).compose(found ->
                found.open == null && found.over == null ? Future.succeededFuture(otherwise) : current(id, found));
    }

    /** Only in an era that is known and whole: a job that was lost may have been over, and must not run once more. */
    private Future<ApiResponse> accept(
            JobSpec spec, Map<String, Object> record, boolean cancelled, long now, int attempt) {
        if (!state.isEraKnown()) {
            // Without the condition, an acceptance that gets no answer could be carried out after a rebuilding that no
            // longer
            // knows of the job's end.
            return state.check()
                    .compose(v -> state.isEraKnown()
                            ? accept(spec, record, cancelled, now, attempt)
                            : Future.succeededFuture(ApiResponse.retryLater("the era is not known yet")));
        }
        StateClient.Txn txn = state.inThisEra()
                .when(RecordCodec.openKey(spec.id()), Revision.ABSENT)
                .when(RecordCodec.finalKey(spec.id()), Revision.ABSENT);
        if (state.losses().isHolding()) {
            return find(spec.id()).compose(found -> currentOrLater(spec.id(), found));
        }
        return (cancelled ? Future.succeededFuture(new Transaction()) : participantWrites(spec))
                .compose(
                        change -> commit(spec, record, cancelled, now, attempt, txn, change)
                                .recover(e -> refused(spec, e)),
                        e ->
                                // Whatever was accepted once stays accepted, also where a part would refuse it by now
                                // or cannot say.
                                find(spec.id())
                                        .compose(found -> found.open != null || found.over != null
                                                ? current(spec.id(), found)
                                                : e instanceof RequestRejectedException r
                                                        ? Future.succeededFuture(r.answer())
                                                        : Future.failedFuture(e)));
    }

    /** What the state service does not take as it is, it never will: a repeat would only fail again. */
    private Future<ApiResponse> refused(JobSpec spec, Throwable failure) {
        if (!(failure instanceof StateClient.UnacceptableWriteException)) {
            return Future.failedFuture(failure);
        }
        return ifUnknown(spec.id(), ApiResponse.error(422, "the state service takes no record of this size"));
    }

    /** What the parts beside the jobs have to say to this one; nothing for most. */
    private Future<Transaction> participantWrites(JobSpec spec) {
        Future<Transaction> all = Future.succeededFuture(new Transaction());
        for (SubmissionParticipant j : participants) {
            if (spec.more().containsKey(j.field())) {
                all = all.compose(change -> j.accepting(spec).map(change::and));
            }
        }
        return all;
    }

    private Future<ApiResponse> commit(
            JobSpec spec,
            Map<String, Object> record,
            boolean cancelled,
            long now,
            int attempt,
            StateClient.Txn txn,
            Transaction change) {
        StateClient.Txn whole = cancelled
                ? txn.put(RecordCodec.finalKey(spec.id()), RecordCodec.writeFinal(JobStatus.CANCELLED, 0))
                : txn.put(RecordCodec.openKey(spec.id()), record);
        return state.commit(whole.and(change)).compose(outcome -> {
            if (outcome.done()) {
                participants.stream()
                        .filter(j -> spec.more().containsKey(j.field()))
                        .forEach(j -> j.accepted(change, outcome.stamp()));
                if (cancelled) {
                    remember(new FinalRecord(spec.id(), JobStatus.CANCELLED, 0));
                } else {
                    accepted.put(spec.id(), new RememberedState.OpenJob(spec, now, new BitSet(), spec.tasks()));
                }
                return Future.succeededFuture(new ApiResponse(201, JobCodec.accepted(spec.id(), JobStatus.PENDING), 0));
            }
            if (outcome.failed().equals(List.of(RecordCodec.ERA)) && attempt < MOST_TRIES) {
                return state.check().compose(v -> accept(spec, record, cancelled, now, attempt + 1));
            }
            if (outcome.failed().stream().anyMatch(change.conditions()::containsKey) && attempt < MOST_TRIES) {
                return accept(spec, record, cancelled, now, attempt + 1);
            }
            return find(spec.id(), this::readOpen, spec, 1).compose(found -> currentOrLater(spec.id(), found));
        });
    }

    /** A job that is nowhere at the second look was not accepted by this call: its user comes again. */
    private Future<ApiResponse> currentOrLater(JobId id, StoredJob found) {
        return found.open == null && found.over == null
                ? Future.succeededFuture(ApiResponse.retryLater("try again"))
                : current(id, found);
    }

    private Future<ApiResponse> current(JobId id, StoredJob read) {
        return withCascadeApplied(id, read)
                .map(found -> ApiResponse.ok(
                        JobCodec.accepted(id, found.open != null ? found.open.status() : found.over.status())));
    }

    private Future<ReferencedJob> lookUpReferenced(JobId id, Function<JobId, Future<StateClient.Entry>> reader) {
        return find(id, reader, null, 1)
                .map(found -> new ReferencedJob(
                        found.open == null ? null : found.open.spec(),
                        found.over == null ? null : found.over.status()));
    }

    private boolean isKnownCancelled(JobId id) {
        return finished.containsKey(id) && finished.get(id).status() == JobStatus.CANCELLED;
    }

    /**
     * An open job below a cancelled one is over, though its own end is not written yet: whoever finds that writes it before
     * anybody is told, so that nobody is told otherwise later.
     */
    private Future<StoredJob> withCascadeApplied(JobId id, StoredJob found) {
        if (found.open == null) {
            return Future.succeededFuture(found);
        }
        return dependencies
                .isBelowCancelled(id, found.open.spec().dependencies(), this::isKnownCancelled)
                .compose(below -> below ? cancelByCascade(id, found.open) : Future.succeededFuture(found));
    }

    private Future<StoredJob> cancelByCascade(JobId id, JobRecord open) {
        StateClient.Txn txn = new StateClient.Txn()
                .when(RecordCodec.openKey(id), open.stamp())
                .delete(RecordCodec.openKey(id))
                .put(RecordCodec.finalKey(id), RecordCodec.writeFinal(JobStatus.CANCELLED, open.doneCount()));
        return state.commit(txn).compose(outcome -> {
            if (!outcome.done()) {
                return Future.failedFuture(new WireException("the job changes at this moment"));
            }
            LOG.info("job {} is cancelled with one that it needs", id);
            return Future.succeededFuture(
                    new StoredJob(null, remember(new FinalRecord(id, JobStatus.CANCELLED, open.doneCount()))));
        });
    }

    public Future<ApiResponse> query(String text) {
        if (!JobId.isValid(text)) {
            return Future.succeededFuture(ApiResponse.error(404, "no such job"));
        }
        JobId id = new JobId(text);
        return find(id, queryReads::read, null, 1)
                .compose(read -> withCascadeApplied(id, read))
                .map(found -> {
                    if (found.open != null) {
                        JobRecord record = found.open;
                        return ApiResponse.ok(
                                JobCodec.progress(id, record.status(), record.doneCount(), record.running()));
                    }
                    return found.over == null
                            ? ApiResponse.error(404, "no such job")
                            : ApiResponse.ok(JobCodec.progress(id, found.over.status(), found.over.done(), 0));
                });
    }

    public Future<ApiResponse> cancel(String text) {
        if (!JobId.isValid(text)) {
            return Future.succeededFuture(ApiResponse.error(404, "no such job"));
        }
        return cancel(new JobId(text), 1);
    }

    private Future<ApiResponse> cancel(JobId id, int attempt) {
        return find(id).compose(found -> {
            if (found.over != null) {
                return Future.succeededFuture(ApiResponse.ok(JobCodec.accepted(id, found.over.status())));
            }
            if (found.open == null) {
                return Future.succeededFuture(ApiResponse.error(404, "no such job"));
            }
            StateClient.Txn txn = new StateClient.Txn()
                    .when(RecordCodec.openKey(id), found.open.stamp())
                    .delete(RecordCodec.openKey(id))
                    .put(RecordCodec.finalKey(id), RecordCodec.writeFinal(JobStatus.CANCELLED, found.open.doneCount()));
            // Blocks of done tasks beside the record are removed by the leader: all of them may be more than a
            // transaction takes.
            return state.commit(txn).compose(outcome -> {
                if (outcome.done()) {
                    LOG.info("job {} cancelled by its user", id);
                    remember(new FinalRecord(id, JobStatus.CANCELLED, found.open.doneCount()));
                    return Future.succeededFuture(ApiResponse.ok(JobCodec.accepted(id, JobStatus.CANCELLED)));
                }
                // The leader wrote the job's progress in between.
                return attempt < MOST_TRIES
                        ? cancel(id, attempt + 1)
                        : Future.succeededFuture(ApiResponse.retryLater("the job changes at this moment"));
            });
        });
    }

    private Future<StoredJob> find(JobId id) {
        return find(id, this::readOpen, null, 1);
    }

    private Future<StateClient.Entry> readOpen(JobId id) {
        return state.get(RecordCodec.openKey(id));
    }

    /**
     * Reads the open key first: a job moves from there to the other, never back. That a job is nowhere is confirmed by
     * comparing, as a read may come from before it was accepted; so is what is read while the service is in doubt. What cannot
     * be read is mended first; {@code offered}: the job as its user submits it again, or null.
     */
    private Future<StoredJob> find(
            JobId id, Function<JobId, Future<StateClient.Entry>> reader, JobSpec offered, int attempt) {
        FinalRecord known = finished.get(id);
        if (known != null) {
            return Future.succeededFuture(new StoredJob(null, known));
        }
        return reader.apply(id).compose(open -> {
            if (open != null) {
                JobRecord record;
                try {
                    record = RecordCodec.readJob(id, open.value(), open.stamp());
                } catch (WireException e) {
                    return retryFind(id, repairer.repairOpen(id, open, offered), offered, attempt, e.getMessage());
                }
                if (record.status() == JobStatus.DONE) {
                    // Its end is written; the record has only not been moved yet.
                    return Future.succeededFuture(
                            new StoredJob(null, remember(new FinalRecord(id, JobStatus.DONE, record.doneCount()))));
                }
                StoredJob found = new StoredJob(record, null);
                return state.isDoubted() ? confirm(id, found, open.stamp(), attempt) : Future.succeededFuture(found);
            }
            return state.get(RecordCodec.finalKey(id)).compose(ended -> {
                if (ended == null) {
                    return confirm(id, new StoredJob(null, null), Revision.ABSENT, attempt);
                }
                try {
                    return Future.succeededFuture(
                            new StoredJob(null, remember(RecordCodec.readFinal(id, ended.value()))));
                } catch (WireException e) {
                    return retryFind(id, repairer.repairFinal(id, ended, offered), offered, attempt, e.getMessage());
                }
            });
        });
    }

    private Future<StoredJob> retryFind(JobId id, Future<Void> settled, JobSpec offered, int attempt, String failure) {
        return settled.compose(v -> attempt < MOST_TRIES
                ? find(id, this::readOpen, offered, attempt + 1)
                : Future.failedFuture(new WireException(failure)));
    }

    private Future<StoredJob> confirm(JobId id, StoredJob found, Revision open, int attempt) {
        if (found.open == null && state.losses().isHolding()) {
            return Future.failedFuture(new WireException("data were lost, and this job may be among them"));
        }
        StateClient.Txn txn = found.open == null ? state.inThisEra() : new StateClient.Txn();
        return state.confirm(txn.when(RecordCodec.openKey(id), open).when(RecordCodec.finalKey(id), Revision.ABSENT))
                .compose(holds -> holds
                        ? found.open == null ? unknownToAll(id, attempt) : Future.succeededFuture(found)
                        : retryFind(id, state.check(), null, attempt, "the state service answers with the past"));
    }

    /** Nobody is told that a job does not exist as long as any controller remembers it: its record was lost. */
    private Future<StoredJob> unknownToAll(JobId id, int attempt) {
        return (knows(id) ? Future.succeededFuture(true) : isKnownToPeers.apply(id))
                .compose(known -> known
                        ? state.confirm(nowhere(id)).compose(still -> {
                            if (!still) {
                                // Accepted after it was looked for.
                                return retryFind(
                                        id, Future.succeededFuture(), null, attempt, "the job changes at this moment");
                            }
                            state.recordGone(RecordCodec.openKey(id));
                            return Future.failedFuture(new WireException("the record of this job was lost"));
                        })
                        : Future.succeededFuture(new StoredJob(null, null)));
    }

    private static StateClient.Txn nowhere(JobId id) {
        return new StateClient.Txn()
                .when(RecordCodec.openKey(id), Revision.ABSENT)
                .when(RecordCodec.finalKey(id), Revision.ABSENT);
    }

    /** Whether this node has accepted the job, or knows its end. */
    public boolean knows(JobId id) {
        return accepted.containsKey(id) || finished.containsKey(id);
    }

    /**
     * What chained jobs rest on.
     *
     * @param within after a cancellation, the time in which the jobs that need the cancelled one are told cancelled too
     * @param leadership what differs between any two leaderships
     */
    public void cascadeWithin(Span within, Supplier<Object> leadership) {
        dependencies.within(within, leadership);
    }

    /** Whether chained jobs may be accepted: every node of the deployment knows what they are. */
    public void dependenciesUnderstoodBy(Supplier<Future<Boolean>> all) {
        dependencies.understoodByAll(all);
    }

    /** The parts that have a say in acceptances. */
    public void participants(List<SubmissionParticipant> parts) {
        participants = parts;
    }

    /** Whom to ask whether any other controller knows a job. */
    public void askPeersBy(Function<JobId, Future<Boolean>> peers) {
        isKnownToPeers = peers;
    }

    private FinalRecord remember(FinalRecord record) {
        if (record.status() == JobStatus.CANCELLED) {
            confirmedCancellations.add(record.id(), clock.now());
        }
        finished.put(record.id(), record);
        accepted.remove(record.id());
        return record;
    }

    /** The cancellations that this node tells of, as they are learnt: before any user has the answer. */
    public ConfirmedCancellations confirmedCancellations() {
        return confirmedCancellations;
    }

    /** What this node remembers of one job. */
    public RememberedState rememberedState(JobId id) {
        RememberedState rememberedState = new RememberedState();
        if (finished.containsKey(id)) {
            rememberedState.add(
                    id,
                    new RememberedState.FinishedJob(
                            finished.get(id).status(), finished.get(id).done()));
        } else if (accepted.containsKey(id)) {
            rememberedState.add(accepted.get(id));
        }
        return rememberedState;
    }

    /** What this node remembers of jobs. */
    public RememberedState rememberedState() {
        RememberedState rememberedState = new RememberedState();
        finished.values()
                .forEach(r -> rememberedState.add(r.id(), new RememberedState.FinishedJob(r.status(), r.done())));
        accepted.values().forEach(rememberedState::add);
        return rememberedState;
    }
}
