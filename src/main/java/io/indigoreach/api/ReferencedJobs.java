package io.indigoreach.api;

import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.net.WireException;
import io.vertx.core.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/** Looks up the jobs that others name, some at a time. */
final class ReferencedJobs {
    private static final int AT_ONCE = 8;
    /** One question looks at no more jobs than this; its user comes again, and what was found to be over is remembered. */
    private static final int MOST = 200;

    private final Function<JobId, Future<ReferencedJob>> finder;

    ReferencedJobs(Function<JobId, Future<ReferencedJob>> finder) {
        this.finder = finder;
    }

    /**
     * At a submission: whether a named job is cancelled, so that the new one is too. Fails with a {@link RequestRejectedException} if one was
     * never accepted or is a service, and otherwise if that cannot be said at this moment.
     */
    Future<Boolean> anyCancelled(List<JobId> named) {
        return someOf(new ArrayDeque<>(named), named, false);
    }

    private Future<Boolean> someOf(Deque<JobId> left, List<JobId> named, boolean cancelled) {
        if (left.isEmpty()) {
            return Future.succeededFuture(cancelled);
        }
        List<JobId> batch = take(left);
        return find(batch).compose(found -> {
            boolean any = cancelled;
            for (int n = 0; n < batch.size(); n++) {
                ReferencedJob job = found.get(n);
                if (job.isUnknown()) {
                    return Future.failedFuture(
                            RequestRejectedException.of(JobCodec.WAITS_ON, batch.get(n) + " was never accepted"));
                }
                if (job.open() != null && job.open().isService()) {
                    return Future.failedFuture(RequestRejectedException.of(
                            JobCodec.WAITS_ON, batch.get(n) + " is a service, which is never done"));
                }
                any |= job.isCancelled();
            }
            return someOf(left, named, any);
        });
    }

    /**
     * Whether a waiting job needs a cancelled one, directly or through others that are still open. Cancelled is said only of what
     * an end record says.
     */
    Future<Boolean> isBelowCancelled(JobDependencies chain) {
        return walk(new ArrayDeque<>(chain.requiredJobs()), new HashSet<>(chain.requiredJobs()));
    }

    private Future<Boolean> walk(Deque<JobId> left, Set<JobId> seen) {
        if (left.isEmpty()) {
            return Future.succeededFuture(false);
        }
        if (seen.size() > MOST) {
            return Future.failedFuture(new WireException("too many jobs before this one to look at all of them"));
        }
        return find(take(left)).compose(found -> {
            for (ReferencedJob job : found) {
                if (job.isCancelled()) {
                    return Future.succeededFuture(true);
                }
                if (job.open() != null && job.open().dependencies().isWaiting()) {
                    job.open().dependencies().requiredJobs().stream()
                            .filter(seen::add)
                            .forEach(left::add);
                }
            }
            return walk(left, seen);
        });
    }

    private static List<JobId> take(Deque<JobId> left) {
        List<JobId> batch = new ArrayList<>();
        while (!left.isEmpty() && batch.size() < AT_ONCE) {
            batch.add(left.poll());
        }
        return batch;
    }

    private Future<List<ReferencedJob>> find(Collection<JobId> batch) {
        List<Future<ReferencedJob>> all = batch.stream().map(finder).toList();
        return Future.all(all).map(v -> all.stream().map(Future::result).toList());
    }
}
