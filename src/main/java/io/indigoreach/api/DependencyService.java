package io.indigoreach.api;

import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Future;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * What a node does for chained jobs beside serving any job: whether one may be accepted, and whether one that its record still
 * calls open is below a cancelled one. The leader ends such jobs within moments; a node that cannot be sure that it was able to
 * looks for itself before it answers.
 */
final class DependencyService {
    private static final int REMEMBERED = 20_000;
    /** Of the time for which a job below a cancelled one may be called waiting: one look holds for this part. */
    private static final double LOOK_HOLDS = 0.5;

    private final SteadyClock clock;
    private final ReferencedJobs atSubmission;
    private final ReferencedJobs atQuestions;
    private final CascadeFreshness doubt;
    private Span within = Span.ZERO;
    private Supplier<Future<Boolean>> understoodByAll = () -> Future.succeededFuture(true);
    /** When a look began that found no cancelled job above a waiting one. */
    private final Map<JobId, Moment> looks = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, Moment> eldest) {
            return size() > REMEMBERED;
        }
    };

    /** {@code sparing}: finds a job at a cost that does not grow with how many are asked about, and later where that is many. */
    DependencyService(
            SteadyClock clock,
            Function<JobId, Future<ReferencedJob>> finder,
            Function<JobId, Future<ReferencedJob>> sparing,
            CascadeFreshness doubt) {
        this.clock = clock;
        this.atSubmission = new ReferencedJobs(finder);
        this.atQuestions = new ReferencedJobs(sparing);
        this.doubt = doubt;
    }

    /** {@code time}: within it after a cancellation, the jobs below are to be told cancelled too. */
    void within(Span time, Supplier<Object> leadership) {
        within = time;
        doubt.cascadeWithin(time, leadership);
    }

    /** Whether every node of the deployment knows what a chain is: one that does not would start such a job at once. */
    void understoodByAll(Supplier<Future<Boolean>> all) {
        understoodByAll = all;
    }

    /**
     * Whether a new job with this chain is cancelled from the start, as one that it names is. Fails with a {@link RequestRejectedException}
     * if it names one that was never accepted, and otherwise if it cannot be accepted at this moment.
     */
    Future<Boolean> isBornCancelled(JobDependencies chain) {
        if (chain.isEmpty()) {
            return Future.succeededFuture(false);
        }
        return understoodByAll
                .get()
                .compose(all -> all
                        ? atSubmission.anyCancelled(chain.requiredJobs())
                        : Future.failedFuture(
                                new DependencyUnknownException("not every controller knows chained jobs yet")));
    }

    /** Whether an open job whose record says that it waits is to be told cancelled. */
    Future<Boolean> isBelowCancelled(JobId id, JobDependencies chain, Function<JobId, Boolean> knownCancelled) {
        if (!chain.isWaiting()) {
            return Future.succeededFuture(false);
        }
        if (chain.requiredJobs().stream().anyMatch(knownCancelled::apply)) {
            return Future.succeededFuture(true);
        }
        Moment now = clock.now();
        Moment last = looks.getOrDefault(id, Moment.NEVER);
        if (!doubt.mayBeStale() || now.since(last).compareTo(within.times(LOOK_HOLDS)) < 0) {
            return Future.succeededFuture(false);
        }
        return atQuestions.isBelowCancelled(chain).onSuccess(below -> {
            if (!below) {
                looks.put(id, now);
            }
        });
    }

    /** Not accepted at this moment; its user is to come again. */
    static final class DependencyUnknownException extends RuntimeException {
        DependencyUnknownException(String reason) {
            super(reason, null, false, false);
        }
    }
}
