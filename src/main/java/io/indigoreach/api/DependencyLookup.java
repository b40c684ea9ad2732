package io.indigoreach.api;

import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.net.WireException;
import io.vertx.core.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/** Looks up the dependencies of jobs in small batches. Used on the event loop only. */
final class DependencyLookup {
    private static final int BATCH_SIZE = 8;
    /** The maximum number of jobs that one check looks up. Clients may retry the query; jobs that were found to have ended are cached. */
    private static final int MAX_LOOKUPS = 200;

    private final Function<JobId, Future<StoredJob>> jobLookup;

    DependencyLookup(Function<JobId, Future<StoredJob>> jobLookup) {
        this.jobLookup = jobLookup;
    }

    /**
     * Returns whether one of the dependencies of a submitted job is cancelled. Fails with a {@link RequestRejectedException} if one
     * was never accepted or is a service, and with any other exception if that cannot be determined now.
     */
    Future<Boolean> isAnyCancelled(List<JobId> ids) {
        return isAnyCancelled(new ArrayDeque<>(ids), false);
    }

    private Future<Boolean> isAnyCancelled(Deque<JobId> remaining, boolean cancelledBefore) {
        if (remaining.isEmpty()) {
            return Future.succeededFuture(cancelledBefore);
        }
        List<JobId> batch = takeBatch(remaining);
        return lookUpAll(batch).compose(jobs -> {
            Optional<RequestRejectedException> rejection = findRejection(batch, jobs);
            if (rejection.isPresent()) {
                return Future.failedFuture(rejection.get());
            }
            boolean cancelled = cancelledBefore || jobs.stream().anyMatch(StoredJob::isCancelled);
            return isAnyCancelled(remaining, cancelled);
        });
    }

    /** Returns the rejection for the first of these jobs that another job may not depend on. */
    private static Optional<RequestRejectedException> findRejection(List<JobId> ids, List<StoredJob> jobs) {
        for (int index = 0; index < ids.size(); index++) {
            StoredJob job = jobs.get(index);
            if (job.isUnknown()) {
                return Optional.of(
                        RequestRejectedException.of(JobCodec.WAITS_ON, ids.get(index) + " was never accepted"));
            }
            if (job.openSpec().filter(JobSpec::isService).isPresent()) {
                return Optional.of(RequestRejectedException.of(
                        JobCodec.WAITS_ON, ids.get(index) + " is a service, which is never done"));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether a waiting job depends on a cancelled job, directly or through jobs that are still open. A job counts as
     * cancelled only if its final record says so.
     */
    Future<Boolean> isCancelledByCascade(JobDependencies dependencies) {
        return searchForCancelled(
                new ArrayDeque<>(dependencies.requiredJobs()), new HashSet<>(dependencies.requiredJobs()));
    }

    /** Searches breadth-first. {@code seen} contains the jobs that were looked up and those in {@code remaining}. */
    private Future<Boolean> searchForCancelled(Deque<JobId> remaining, Set<JobId> seen) {
        if (remaining.isEmpty()) {
            return Future.succeededFuture(false);
        }
        if (seen.size() > MAX_LOOKUPS) {
            return Future.failedFuture(
                    new WireException("the job has more than " + MAX_LOOKUPS + " direct and indirect dependencies"));
        }
        return lookUpAll(takeBatch(remaining)).compose(jobs -> {
            if (jobs.stream().anyMatch(StoredJob::isCancelled)) {
                return Future.succeededFuture(true);
            }
            jobs.stream()
                    .flatMap(job -> unfinishedDependencies(job).stream())
                    .filter(seen::add)
                    .forEach(remaining::add);
            return searchForCancelled(remaining, seen);
        });
    }

    private static List<JobId> unfinishedDependencies(StoredJob job) {
        return job.openSpec()
                .map(JobSpec::dependencies)
                .filter(JobDependencies::isWaiting)
                .map(JobDependencies::requiredJobs)
                .orElse(List.of());
    }

    private static List<JobId> takeBatch(Deque<JobId> remaining) {
        List<JobId> batch = new ArrayList<>();
        while (!remaining.isEmpty() && batch.size() < BATCH_SIZE) {
            batch.add(remaining.poll());
        }
        return batch;
    }

    private Future<List<StoredJob>> lookUpAll(Collection<JobId> batch) {
        List<Future<StoredJob>> lookups = batch.stream().map(jobLookup).toList();
        return Future.all(lookups)
                .map(all -> lookups.stream().map(Future::result).toList());
    }
}
