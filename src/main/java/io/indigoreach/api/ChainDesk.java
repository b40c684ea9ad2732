package io.indigoreach.api;

import io.indigoreach.core.JobId;
import io.indigoreach.core.Moment;
import io.indigoreach.core.Span;
import io.indigoreach.core.chain.Chain;
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
final class ChainDesk {
    private static final int REMEMBERED = 20_000;
    /** Of the time for which a job below a cancelled one may be called waiting: one look holds for this part. */
    private static final double LOOK_HOLDS = 0.5;

    private final SteadyClock clock;
    private final NamedJobs atSubmission;
    private final NamedJobs atQuestions;
    private final Doubt doubt;
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
    ChainDesk(
            SteadyClock clock,
            Function<JobId, Future<NamedJob>> finder,
            Function<JobId, Future<NamedJob>> sparing,
            Doubt doubt) {
        this.clock = clock;
        this.atSubmission = new NamedJobs(finder);
        this.atQuestions = new NamedJobs(sparing);
        this.doubt = doubt;
    }

    /** {@code time}: within it after a cancellation, the jobs below are to be told cancelled too. */
    void within(Span time, Supplier<Object> leadership) {
        within = time;
        doubt.lasting(time, leadership);
    }

    /** Whether every node of the deployment knows what a chain is: one that does not would start such a job at once. */
    void understoodByAll(Supplier<Future<Boolean>> all) {
        understoodByAll = all;
    }

    /**
     * Whether a new job with this chain is cancelled from the start, as one that it names is. Fails with a {@link Refusal}
     * if it names one that was never accepted, and otherwise if it cannot be accepted at this moment.
     */
    Future<Boolean> isBornCancelled(Chain chain) {
        if (chain.isEmpty()) {
            return Future.succeededFuture(false);
        }
        return understoodByAll
                .get()
                .compose(all -> all
                        ? atSubmission.anyCancelled(chain.needs())
                        : Future.failedFuture(new NotYet("not every controller knows chained jobs yet")));
    }

    /** Whether an open job whose record says that it waits is to be told cancelled. */
    Future<Boolean> isBelowCancelled(JobId id, Chain chain, Function<JobId, Boolean> knownCancelled) {
        if (!chain.isWaiting()) {
            return Future.succeededFuture(false);
        }
        if (chain.needs().stream().anyMatch(knownCancelled::apply)) {
            return Future.succeededFuture(true);
        }
        Moment now = clock.now();
        Moment last = looks.getOrDefault(id, Moment.NEVER);
        if (!doubt.isJustified() || now.since(last).compareTo(within.times(LOOK_HOLDS)) < 0) {
            return Future.succeededFuture(false);
        }
        return atQuestions.isBelowCancelled(chain).onSuccess(below -> {
            if (!below) {
                looks.put(id, now);
            }
        });
    }

    /** Not accepted at this moment; its user is to come again. */
    static final class NotYet extends RuntimeException {
        NotYet(String reason) {
            super(reason, null, false, false);
        }
    }
}
