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
 * Serves users' requests for jobs at any node. Responses are based on the state service, except that a final status that this node
 * has seen is served from memory, because it never changes. So no node responds with an older state than another node has
 * already returned. Delegates to {@link JobSubmission}, {@link JobLookup} and {@link JobCancellation}; {@link JobCache} caches
 * job states. Used on the event loop only.
 */
public final class JobService {
    private static final int CREATED = 201;

    private final JobCache jobCache;
    private final JobLookup lookup;
    private final DependencyService dependencies;
    private final JobCancellation cancellation;
    private final JobSubmission submission;

    /**
     * The dependencies and limits of the service.
     *
     * @param maxValueBytes the configured size limit of a value in the state service, in bytes of JSON
     * @param queriesPerSecond the limit of this node's requests to the state service for users' queries
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

    /** Creates the service and registers for failures of the state service. Sends no requests. */
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
     * Accepts a job. Responds with 201, or with 200 and the current status if the job was accepted before. The future fails if the
     * outcome is unknown. Throws {@link io.indigoreach.net.WireException} if the body is malformed.
     */
    public Future<ApiResponse> submit(Buffer body) {
        JobSpec spec = JobCodec.read(MessagePackFormat.readMap(body));
        Future<ApiResponse> response = submission.submit(spec).map(result -> submissionResponse(spec.id(), result));
        return ErrorResponses.recover(response);
    }

    private static ApiResponse submissionResponse(JobId id, SubmissionResult result) {
        return new ApiResponse(result.created() ? CREATED : 200, JobCodec.writeStatus(id, result.status()), 0);
    }

    /** Responds with 200 and the status and progress of a job, or with 404. The future fails if they cannot be determined now. */
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
     * Cancels a job. Responds with 200 and the final status, with 404, or with 503 if the job's record keeps changing. The future
     * fails if the outcome is unknown.
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

    /** Returns whether this node has accepted the job or seen its final status. */
    public boolean isKnown(JobId id) {
        return jobCache.contains(id);
    }

    /**
     * Sets the parameters of the cancellation cascade.
     *
     * @param cascadeTime the time after a cancellation within which users see the dependent jobs as cancelled
     * @param leadership returns a value that is different for each leadership
     */
    public void setCascadeTime(Span cascadeTime, Supplier<Object> leadership) {
        dependencies.setCascadeTime(cascadeTime, leadership);
    }

    /**
     * Sets the check whether every node of the deployment supports dependencies. Until then, jobs with dependencies are
     * rejected with 503.
     */
    public void setDependencySupportCheck(Supplier<Future<Boolean>> supportCheck) {
        dependencies.setSupportCheck(supportCheck);
    }

    /** Sets the optional features that take part in submissions. */
    public void setParticipants(List<SubmissionParticipant> optionalFeatures) {
        submission.setParticipants(new SubmissionParticipants(optionalFeatures));
    }

    /** Sets the query that finds out whether any other controller remembers a job. */
    public void setPeerQuery(Function<JobId, Future<Boolean>> peerQuery) {
        lookup.setPeerQuery(peerQuery);
    }

    /** Returns the cancellations that this node confirms to users. Each is recorded before the response is sent. */
    public ConfirmedCancellations confirmedCancellations() {
        return jobCache.confirmedCancellations();
    }

    /** Returns the state of one job that this node remembers. */
    public RememberedState rememberedState(JobId id) {
        return jobCache.rememberedState(id);
    }

    /** Returns the state of all jobs that this node remembers. */
    public RememberedState rememberedState() {
        return jobCache.rememberedState();
    }
}
