package io.indigoreach.api;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.query.ListingCursor;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.net.WireException;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;

/**
 * Reads of open jobs' records for users who ask about them, at a cost that does not grow with how many ask: what goes
 * beyond this node's part of the state service's requests is read together, by listings of all open jobs. Six hundred
 * jobs, asked about eight times as often as usual, had left the leader's renewals without an answer.
 *
 * <p>Whoever asks waits for a listing that begins after that, page by page; so its answer is never older than one that
 * anybody was given before the question.
 */
final class JobReadBatcher {
    private static final int PAGE = 500;
    /** Of a node's part, what is kept for listings. */
    private static final double LISTINGS = 0.25;
    /** Of a listing: who has waited longer has gone, and is told to come back; those are the first of the next. */
    private static final Span PATIENCE = Span.seconds(1.5);
    /** Between two looks at whether a page may be asked for. */
    private static final Span PACE = Span.seconds(0.1);

    private final Vertx vertx;
    private final StateClient state;
    private final SteadyClock clock;
    private final RateLimiter single;
    private final RateLimiter pages;
    /** By the keys of the records. */
    private Map<String, Promise<StateClient.Entry>> waiting = new HashMap<>();

    private final ListingCursor<Promise<StateClient.Entry>> cursor = new ListingCursor<>();
    private boolean listing;

    /** {@code perSecond}: requests to the state service that this node may spend on users' questions. */
    JobReadBatcher(Vertx vertx, StateClient state, SteadyClock clock, double perSecond) {
        this.vertx = vertx;
        this.state = state;
        this.clock = clock;
        this.single = new RateLimiter(perSecond * (1 - LISTINGS), clock.now());
        this.pages = new RateLimiter(Math.max(1, perSecond * LISTINGS), clock.now());
    }

    /** The open job's record as it stands now; null if there is none. */
    Future<StateClient.Entry> read(JobId id) {
        if (!listing && waiting.isEmpty() && single.take(1, clock.now())) {
            return state.get(RecordKeys.openKey(id));
        }
        Promise<StateClient.Entry> promise = waiting.computeIfAbsent(RecordKeys.openKey(id), key -> Promise.promise());
        begin();
        return promise.future();
    }

    private void begin() {
        if (listing || waiting.isEmpty()) {
            return;
        }
        listing = true;
        page(null);
    }

    /** The first page answers to all who wait as it is asked for; who comes later waits for the next listing. */
    private void page(Moment begun) {
        Moment now = clock.now();
        if (begun != null && now.since(begun).compareTo(PATIENCE) >= 0) {
            end(new WireException("too many open jobs to list them in time"));
            return;
        }
        if (!pages.take(1, now)) {
            vertx.setTimer(PACE.ms(), t -> page(begun));
            return;
        }
        if (begun == null) {
            cursor.begin(waiting);
            waiting = new HashMap<>();
        }
        String from = cursor.next();
        state.list(RecordKeys.OPEN_JOBS, RecordKeys.keyBefore(from), PAGE).onComplete(read -> {
            if (read.failed()) {
                cursor.failed(from);
                end(new WireException(
                        "the open jobs cannot be listed: " + read.cause().getMessage()));
                return;
            }
            Map<String, StateClient.Entry> items = new HashMap<>();
            read.result().items().forEach(item -> items.put(item.key(), item));
            String last = read.result().more() && !items.isEmpty()
                    ? read.result().items().get(items.size() - 1).key()
                    : null;
            cursor.answered(from, last).forEach((key, promise) -> promise.complete(items.get(key)));
            if (cursor.isOver()) {
                end(null);
            } else {
                page(begun == null ? now : begun);
            }
        });
    }

    private void end(WireException failure) {
        listing = false;
        cursor.end().values().forEach(promise -> promise.fail(failure));
        begin();
    }
}
