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
 * What a node decides about jobs with dependencies: whether one may be accepted, and whether one that its record calls open
 * is to be cancelled because a dependency is. The leader ends such jobs within moments; a node that cannot be sure that the
 * leader was able to checks the dependencies itself before it responds. Used on the event loop only.
 */
final class DependencyService {
    private static final int MAX_REMEMBERED_CHECKS = 20_000;
    /** The part of the cascade time for which one check of a waiting job holds. */
    private static final double CHECK_VALIDITY_SHARE = 0.5;

    private final SteadyClock clock;
    private final DependencyLookup submissionLookups;
    private final DependencyLookup queryLookups;
    private final CascadeFreshness freshness;
    private Span cascadeTime = Span.ZERO;
    private Supplier<Future<Boolean>> supportedByAllNodes = () -> Future.succeededFuture(true);
    /** When the last check began that found no cancelled job among the dependencies of a waiting one. */
    private final Map<JobId, Moment> lastCheckTimes = BoundedMaps.withLimit(MAX_REMEMBERED_CHECKS);

    /**
     * Creates the service.
     *
     * @param finder looks up a job by a read of its own
     * @param batchedFinder looks up a job at a cost that does not grow with the number of lookups, but takes longer if there are many
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

    /** Sets the time after a cancellation within which users are told that the dependants are cancelled too. */
    void setCascadeTime(Span time, Supplier<Object> leadership) {
        cascadeTime = time;
        freshness.setCascadeTime(time, leadership);
    }

    /** Sets the check whether every node supports dependencies: one that does not would start such a job at once. */
    void setSupportCheck(Supplier<Future<Boolean>> supportCheck) {
        supportedByAllNodes = supportCheck;
    }

    /**
     * Whether a new job with these dependencies is cancelled from the start, as one of them is. Fails with a
     * {@link RequestRejectedException} if one was never accepted, with a {@link RetryLaterException} if not every node supports
     * dependencies yet, and with anything else if a dependency cannot be read.
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
     * Whether an open job whose record says that it waits is to be reported cancelled.
     *
     * @param knownCancelled whether this node knows that a job is cancelled
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
