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
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads records of open jobs for queries at a cost that does not grow with their number: reads beyond this node's share of
 * the state service's requests are answered together, by listings of all open jobs. Without this, 600 jobs that were queried
 * eight times as often as usual had left the leader's lease renewals without an answer.
 *
 * <p>A read waits for a listing that begins after it, page by page, so its result is never older than one that was given to anybody before.
 * Used on the event loop only.
 */
final class JobReadBatcher implements OpenRecordReader {
    private static final int PAGE_SIZE = 500;
    /** The part of this node's share that is reserved for listings. */
    private static final double LISTING_SHARE = 0.25;
    /** The longest a listing may take: users who have waited longer have gone. The reads left are the first of the next listing. */
    private static final Span LISTING_TIMEOUT = Span.seconds(1.5);
    /** Between two checks whether the rate limit permits a page. */
    private static final Span RATE_CHECK_INTERVAL = Span.seconds(0.1);

    private final Vertx vertx;
    private final StateClient state;
    private final SteadyClock clock;
    private final RateLimiter singleReads;
    private final RateLimiter pageReads;
    /** Reads that wait for the next listing, by the keys of the records. */
    private Map<String, Promise<Optional<StateClient.Entry>>> waiting = new HashMap<>();

    private final ListingCursor<Promise<Optional<StateClient.Entry>>> cursor = new ListingCursor<>();
    private boolean listing;

    /** {@code requestsPerSecond}: the requests to the state service that this node may spend on users' queries. */
    JobReadBatcher(Vertx vertx, StateClient state, SteadyClock clock, double requestsPerSecond) {
        this.vertx = vertx;
        this.state = state;
        this.clock = clock;
        this.singleReads = new RateLimiter(requestsPerSecond * (1 - LISTING_SHARE), clock.now());
        this.pageReads = new RateLimiter(Math.max(1, requestsPerSecond * LISTING_SHARE), clock.now());
    }

    @Override
    public Future<Optional<StateClient.Entry>> read(JobId id) {
        String key = RecordKeys.openKey(id);
        if (!listing && waiting.isEmpty() && singleReads.tryAcquire(1, clock.now())) {
            return state.get(key).map(Optional::ofNullable);
        }
        Promise<Optional<StateClient.Entry>> promise = waiting.computeIfAbsent(key, absent -> Promise.promise());
        beginListing();
        return promise.future();
    }

    private void beginListing() {
        if (listing || waiting.isEmpty()) {
            return;
        }
        listing = true;
        readFirstPage();
    }

    /** The listing answers all reads that wait when its first page is requested; later ones wait for the next listing. */
    private void readFirstPage() {
        Moment now = clock.now();
        if (!pageReads.tryAcquire(1, now)) {
            vertx.setTimer(RATE_CHECK_INTERVAL.ms(), timer -> readFirstPage());
            return;
        }
        cursor.begin(waiting);
        waiting = new HashMap<>();
        requestPage(now);
    }

    private void readNextPage(Moment begun) {
        Moment now = clock.now();
        if (now.since(begun).compareTo(LISTING_TIMEOUT) >= 0) {
            failListing(new WireException("too many open jobs to list them in time"));
            return;
        }
        if (!pageReads.tryAcquire(1, now)) {
            vertx.setTimer(RATE_CHECK_INTERVAL.ms(), timer -> readNextPage(begun));
            return;
        }
        requestPage(begun);
    }

    private void requestPage(Moment begun) {
        String from = cursor.next();
        state.list(RecordKeys.OPEN_JOBS, RecordKeys.keyBefore(from), PAGE_SIZE).onComplete(page -> {
            if (page.failed()) {
                cursor.failed(from);
                failListing(new WireException(
                        "the open jobs cannot be listed: " + page.cause().getMessage()));
                return;
            }
            completeReads(from, page.result());
            if (cursor.isOver()) {
                finishListing();
            } else {
                readNextPage(begun);
            }
        });
    }

    private void completeReads(String from, StateClient.Page page) {
        List<StateClient.Entry> items = page.items();
        Map<String, StateClient.Entry> byKey = new HashMap<>();
        items.forEach(item -> byKey.put(item.key(), item));
        String last =
                page.more() && !items.isEmpty() ? items.get(items.size() - 1).key() : null;
        cursor.answered(from, last).forEach((key, promise) -> promise.complete(Optional.ofNullable(byKey.get(key))));
    }

    private void finishListing() {
        listing = false;
        beginListing();
    }

    private void failListing(WireException failure) {
        listing = false;
        cursor.end().values().forEach(promise -> promise.fail(failure));
        beginListing();
    }
}
