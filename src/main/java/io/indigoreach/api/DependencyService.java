package io.indigoreach.api;

import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Future;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Decides whether a job with dependencies may be accepted, and whether an open job has to be cancelled because one of its
 * dependencies was cancelled. Normally the leader cascades cancellations to dependent jobs shortly after the cancellation. While
 * a node cannot rely on that, it checks the dependencies itself before it responds. Used on the event loop only.
 */
final class DependencyService {
    private static final int MAX_REMEMBERED_CHECKS = 20_000;
    /** Fraction of the cascade time for which the result of a dependency check stays valid. */
    private static final double CHECK_VALIDITY_SHARE = 0.5;

    private final SteadyClock clock;
    private final DependencyLookup submissionLookups;
    private final DependencyLookup queryLookups;
    private final CascadeFreshness freshness;
    private Span cascadeTime = Span.ZERO;
    private Supplier<Future<Boolean>> supportedByAllNodes = () -> Future.succeededFuture(true);
    /** Start time of the last check of each waiting job that found no cancelled dependency. */
    private final Map<JobId, Moment> lastCheckTimes = BoundedMaps.withLimit(MAX_REMEMBERED_CHECKS);

    /**
     * Creates the service.
     *
     * @param lookup looks up a job with a separate read
     * @param batchedLookup looks up a job with batched reads: the request rate to the state service is bounded, but a lookup takes
     *     longer under load
     */
    DependencyService(
            SteadyClock clock,
            Function<JobId, Future<StoredJob>> lookup,
            Function<JobId, Future<StoredJob>> batchedLookup,
            CascadeFreshness freshness) {
        this.clock = clock;
        this.submissionLookups = new DependencyLookup(lookup);
        this.queryLookups = new DependencyLookup(batchedLookup);
        this.freshness = freshness;
    }

    /** Sets the time after a cancellation within which users see the dependent jobs as cancelled. */
    void setCascadeTime(Span time, Supplier<Object> leadership) {
        cascadeTime = time;
        freshness.setCascadeTime(time, leadership);
    }

    /** Sets the check whether every node supports dependencies. A node that does not would start such a job at once. */
    void setSupportCheck(Supplier<Future<Boolean>> supportCheck) {
        supportedByAllNodes = supportCheck;
    }

    /**
     * Returns whether a dependency of a new job is cancelled, in which case the new job is cancelled from the start. Fails with a
     * {@link RequestRejectedException} if a dependency was never accepted or is a service, with a {@link RetryLaterException} if
     * not every node supports dependencies yet, and with any other exception if a dependency cannot be read.
     */
    Future<Boolean> isAnyCancelled(JobDependencies dependencies) {
        if (dependencies.isEmpty()) {
            return Future.succeededFuture(false);
        }
        return supportedByAllNodes
                .get()
                .compose(supported -> supported
                        ? submissionLookups.isAnyCancelled(dependencies.requiredJobs())
                        : Future.failedFuture(new RetryLaterException("not every controller knows chained jobs yet")));
    }

    /**
     * Returns whether an open job that waits for its dependencies has to be cancelled because one of them was.
     *
     * @param knownCancelled returns whether this node knows that a job is cancelled
     */
    Future<Boolean> isCancelledByCascade(JobId id, JobDependencies dependencies, Predicate<JobId> knownCancelled) {
        if (!dependencies.isWaiting()) {
            return Future.succeededFuture(false);
        }
        if (dependencies.requiredJobs().stream().anyMatch(knownCancelled)) {
            return Future.succeededFuture(true);
        }
        Moment now = clock.now();
        if (!freshness.mayBeStale() || wasRecentlyChecked(id, now)) {
            return Future.succeededFuture(false);
        }
        return queryLookups.isCancelledByCascade(dependencies).onSuccess(cancelled -> {
            if (!cancelled) {
                lastCheckTimes.put(id, now);
            }
        });
    }

    private boolean wasRecentlyChecked(JobId id, Moment now) {
        Moment lastCheck = lastCheckTimes.getOrDefault(id, Moment.NEVER);
        return now.since(lastCheck).compareTo(cascadeTime.times(CHECK_VALIDITY_SHARE)) < 0;
    }
}
