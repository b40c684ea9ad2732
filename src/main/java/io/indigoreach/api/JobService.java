package io.indigoreach.api;

import io.indigoreach.cloud.Catalogue;
import io.indigoreach.core.leadership.ConfirmedCancellations;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.JobRecord;
import io.indigoreach.state.JobRepairer;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Serves users' requests about jobs at any node. Each response rests on the state service, except that a final status once seen is
 * answered from memory, as it never changes; so no node gives an older answer than another gave before. The work is done by
 * {@link JobSubmission}, {@link JobLookup}, {@link JobCancellation} and {@link JobMemory}. Used on the event loop only.
 */
public final class JobService {
    private static final int CREATED = 201;

    private final JobCache jobCache;
    private final JobLookup lookup;
    private final DependencyService dependencies;
    private final JobCancellation cancellation;
    private final JobSubmission submission;

    /**
     * What the service is built on.
     *
     * @param maxValueBytes the largest value of the state service by the settings, in bytes of JSON
     * @param queriesPerSecond requests to the state service that this node may spend on users' queries
     */
    public record Context(
            Vertx vertx,
            StateClient state,
            JobRepairer repairer,
            Catalogue catalogue,
            Collection<Team> teams,
            SteadyClock clock,
            int maxValueBytes,
            double queriesPerSecond) {}

    /** Registers for failures of the state service; sends nothing yet. */
    public JobService(Context context) {
        StateClient state = context.state();
        SteadyClock clock = context.clock();
        jobCache = new JobCache(clock);
        JobReadBatcher batchedReads = new JobReadBatcher(context.vertx(), state, clock, context.queriesPerSecond());
        lookup = new JobLookup(state, context.repairer(), jobCache, batchedReads);
        CascadeFreshness freshness = new CascadeFreshness(clock, state::shouldConfirmRead);
        state.onFailure(freshness::recordRequestFailure);
        dependencies = new DependencyService(clock, lookup::find, lookup::findBatched, freshness);
        cancellation = new JobCancellation(state, lookup, jobCache, dependencies);
        submission = new JobSubmission(new JobSubmission.Context(
                state,
                clock,
                new JobAdmission(context.catalogue(), context.teams(), state, context.maxValueBytes()),
                dependencies,
                lookup,
                cancellation,
                jobCache));
    }

    /**
     * Accepts a job: 201, or 200 with the current status if it was accepted before. The future fails if the outcome is
     * unknown. Throws {@link io.indigoreach.net.WireException} if the body is malformed.
     */
    public Future<ApiResponse> submit(Buffer body) {
        JobSpec spec = JobCodec.read(MessagePackFormat.readMap(body));
        Future<ApiResponse> response = submission.submit(spec).map(result -> submissionResponse(spec.id(), result));
        return ErrorResponses.recover(response);
    }

    private static ApiResponse submissionResponse(JobId id, SubmissionResult result) {
        return new ApiResponse(result.created() ? CREATED : 200, JobCodec.writeStatus(id, result.status()), 0);
    }

    /** The status and progress of a job: 200 or 404. The future fails if they cannot be determined now. */
    public Future<ApiResponse> query(String idText) {
        if (!JobId.isValid(idText)) {
            return Future.succeededFuture(ErrorResponses.of(NotFoundException.job()));
        }
        JobId id = new JobId(idText);
        return lookup.findBatched(id)
                .compose(found -> cancellation.applyCascade(id, found))
                .map(current -> progressResponse(id, current));
    }

    private static ApiResponse progressResponse(JobId id, StoredJob current) {
        if (current instanceof StoredJob.Open open) {
            JobRecord job = open.jobRecord();
            return ApiResponse.ok(JobCodec.writeProgress(id, job.status(), job.doneCount(), job.running()));
        }
        if (current instanceof StoredJob.Finished finished) {
            return ApiResponse.ok(JobCodec.writeProgress(
                    id, finished.finalRecord().status(), finished.finalRecord().done(), 0));
        }
        return ErrorResponses.of(NotFoundException.job());
    }

    /**
     * Cancels a job: 200 with its final status, or 404, or 503 if its record keeps changing. The future fails if the
     * outcome is unknown.
     */
    public Future<ApiResponse> cancel(String idText) {
        if (!JobId.isValid(idText)) {
            return Future.succeededFuture(ErrorResponses.of(NotFoundException.job()));
        }
        JobId id = new JobId(idText);
        Future<ApiResponse> response =
                cancellation.cancel(id).map(status -> ApiResponse.ok(JobCodec.writeStatus(id, status)));
        return ErrorResponses.recover(response);
    }

    /** Whether this node has accepted the job or seen its final status. */
    public boolean isKnown(JobId id) {
        return jobCache.contains(id);
    }

    /**
     * Sets what the cancellation cascade rests on.
     *
     * @param within after a cancellation, the time within which users are told that the dependants are cancelled too
     * @param leadership a value that differs between any two leaderships
     */
    public void setCascadeTime(Span cascadeTime, Supplier<Object> leadership) {
        dependencies.setCascadeTime(cascadeTime, leadership);
    }

    /** Sets the check whether every node of the deployment supports dependencies; jobs with dependencies wait for that. */
    public void setDependencySupportCheck(Supplier<Future<Boolean>> supportCheck) {
        dependencies.setSupportCheck(supportCheck);
    }

    /** Sets the optional features that take part in submissions. */
    public void setParticipants(List<SubmissionParticipant> optionalFeatures) {
        submission.setParticipants(new SubmissionParticipants(optionalFeatures));
    }

    /** Sets the request to the other controllers whether any of them knows a job. */
    public void setPeerQuery(Function<JobId, Future<Boolean>> peerQuery) {
        lookup.setPeerQuery(peerQuery);
    }

    /** The cancellations that this node confirms to users, recorded before any user has the response. */
    public ConfirmedCancellations confirmedCancellations() {
        return jobCache.confirmedCancellations();
    }

    /** What this node remembers of one job. */
    public RememberedState rememberedState(JobId id) {
        return jobCache.rememberedState(id);
    }

    /** What this node remembers of all jobs. */
    public RememberedState rememberedState() {
        return jobCache.rememberedState();
    }
}
