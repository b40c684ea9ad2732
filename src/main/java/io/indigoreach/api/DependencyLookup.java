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

/** Looks up the jobs that others depend on, a few at a time. Used on the event loop only. */
final class DependencyLookup {
    private static final int BATCH_SIZE = 8;
    /** The most jobs that one check looks up. The user repeats the query; the jobs found to have ended are remembered. */
    private static final int MAX_LOOKUPS = 200;

    private final Function<JobId, Future<StoredJob>> jobLookup;

    DependencyLookup(Function<JobId, Future<StoredJob>> jobLookup) {
        this.jobLookup = jobLookup;
    }

    /**
     * For a submission: whether one of these jobs is cancelled, so that the new one is too. Fails with a
     * {@link RequestRejectedException} if one was never accepted or is a service, and with anything else if that cannot be
     * determined now.
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

    /** Why a job may not depend on these, by the first one at fault. */
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
     * Whether a waiting job depends on a cancelled one, directly or through others that are still open. Only a final record
     * counts as a cancellation.
     */
    Future<Boolean> isCancelledByCascade(JobDependencies dependencies) {
        return search(new ArrayDeque<>(dependencies.requiredJobs()), new HashSet<>(dependencies.requiredJobs()));
    }

    /** Breadth-first; {@code seen} contains the jobs looked up and those in {@code remaining}. */
    private Future<Boolean> search(Deque<JobId> remaining, Set<JobId> seen) {
        if (remaining.isEmpty()) {
            return Future.succeededFuture(false);
        }
        if (seen.size() > MAX_LOOKUPS) {
            return Future.failedFuture(new WireException("too many jobs before this one to look at all of them"));
        }
        return lookUpAll(takeBatch(remaining)).compose(jobs -> {
            if (jobs.stream().anyMatch(StoredJob::isCancelled)) {
                return Future.succeededFuture(true);
            }
            jobs.stream()
                    .flatMap(job -> unfinishedDependencies(job).stream())
                    .filter(seen::add)
                    .forEach(remaining::add);
            return search(remaining, seen);
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
