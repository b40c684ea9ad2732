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
    private final RateLimiter singleReadLimiter;
    private final RateLimiter pageReadLimiter;
    /** Reads that wait for the next listing, by the keys of the records. */
    private Map<String, Promise<Optional<StateClient.Entry>>> waitingReads = new HashMap<>();

    private final ListingCursor<Promise<Optional<StateClient.Entry>>> cursor = new ListingCursor<>();
    private boolean listingInProgress;

    /** {@code requestsPerSecond}: the requests to the state service that this node may spend on users' queries. */
    JobReadBatcher(Vertx vertx, StateClient state, SteadyClock clock, double requestsPerSecond) {
        this.vertx = vertx;
        this.state = state;
        this.clock = clock;
        this.singleReadLimiter = new RateLimiter(requestsPerSecond * (1 - LISTING_SHARE), clock.now());
        this.pageReadLimiter = new RateLimiter(Math.max(1, requestsPerSecond * LISTING_SHARE), clock.now());
    }

    @Override
    public Future<Optional<StateClient.Entry>> read(JobId id) {
        String key = RecordKeys.openKey(id);
        if (!listingInProgress && waitingReads.isEmpty() && singleReadLimiter.take(1, clock.now())) {
            return state.get(key).map(Optional::ofNullable);
        }
        Promise<Optional<StateClient.Entry>> promise = waitingReads.computeIfAbsent(key, absent -> Promise.promise());
        startListing();
        return promise.future();
    }

    private void startListing() {
        if (listingInProgress || waitingReads.isEmpty()) {
            return;
        }
        listingInProgress = true;
        readFirstPage();
    }

    /** The listing answers all reads that wait when its first page is requested; later ones wait for the next listing. */
    private void readFirstPage() {
        Moment now = clock.now();
        if (!pageReadLimiter.take(1, now)) {
            vertx.setTimer(RATE_CHECK_INTERVAL.ms(), timer -> readFirstPage());
            return;
        }
        cursor.begin(waitingReads);
        waitingReads = new HashMap<>();
        requestPage(now);
    }

    private void readNextPage(Moment startedAt) {
        Moment now = clock.now();
        if (now.since(startedAt).compareTo(LISTING_TIMEOUT) >= 0) {
            failListing(new WireException("too many open jobs to list them in time"));
            return;
        }
        if (!pageReadLimiter.take(1, now)) {
            vertx.setTimer(RATE_CHECK_INTERVAL.ms(), timer -> readNextPage(startedAt));
            return;
        }
        requestPage(startedAt);
    }

    private void requestPage(Moment startedAt) {
        String firstKey = cursor.nextPageStart();
        state.list(RecordKeys.OPEN_JOBS, RecordKeys.keyBefore(firstKey), PAGE_SIZE)
                .onComplete(page -> {
                    if (page.failed()) {
                        cursor.onPageFailed(firstKey);
                        failListing(new WireException("the open jobs cannot be listed: "
                                + page.cause().getMessage()));
                        return;
                    }
                    completeReads(firstKey, page.result());
                    if (cursor.isComplete()) {
                        finishListing();
                    } else {
                        readNextPage(startedAt);
                    }
                });
    }

    private void completeReads(String firstKey, StateClient.Page page) {
        List<StateClient.Entry> entries = page.entries();
        Map<String, StateClient.Entry> byKey = new HashMap<>();
        entries.forEach(item -> byKey.put(item.key(), item));
        String lastKey = page.hasMore() && !entries.isEmpty()
                ? entries.get(entries.size() - 1).key()
                : null;
        cursor.removeAnswered(firstKey, lastKey)
                .forEach((key, promise) -> promise.complete(Optional.ofNullable(byKey.get(key))));
    }

    private void finishListing() {
        listingInProgress = false;
        startListing();
    }

    private void failListing(WireException failure) {
        listingInProgress = false;
        cursor.end().values().forEach(promise -> promise.fail(failure));
        startListing();
    }
}
