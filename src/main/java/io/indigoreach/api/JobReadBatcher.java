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
 * Reads records of open jobs for queries at a bounded request rate. Reads beyond this node's share of the state service's request
 * limit are batched: a listing of all open jobs answers them together. Without batching, 600 jobs queried eight times as often as
 * usual left the leader's lease renewals unanswered.
 *
 * <p>A batched read is answered only by a page requested after the read arrived, so its result is never older than the result of
 * an earlier read. Used on the event loop only.
 */
final class JobReadBatcher implements OpenRecordReader {
    private static final int PAGE_SIZE = 500;
    /** Fraction of this node's request limit that is reserved for listings. */
    private static final double LISTING_SHARE = 0.25;
    /**
     * Maximum duration of a listing; clients that wait longer have timed out. When it is over, the reads not answered
     * yet fail, and the next listing starts at their keys.
     */
    private static final Span LISTING_TIMEOUT = Span.seconds(1.5);
    /** Interval between checks whether the rate limit permits reading a page. */
    private static final Span RATE_CHECK_INTERVAL = Span.seconds(0.1);

    private final Vertx vertx;
    private final StateClient state;
    private final SteadyClock clock;
    private final RateLimiter singleReadLimiter;
    private final RateLimiter pageReadLimiter;
    /** Reads that wait for the next listing, by record key. */
    private Map<String, Promise<Optional<StateClient.Entry>>> waitingReads = new HashMap<>();

    private final ListingCursor<Promise<Optional<StateClient.Entry>>> cursor = new ListingCursor<>();
    private boolean listingInProgress;

    /** @param requestsPerSecond the limit of this node's requests to the state service for users' queries */
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
        if (!listingInProgress && waitingReads.isEmpty() && singleReadLimiter.tryAcquire(1, clock.now())) {
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

    /**
     * Starts a listing for all reads that are waiting when its first page is requested. Later reads wait for the next listing.
     */
    private void readFirstPage() {
        Moment now = clock.now();
        if (!pageReadLimiter.tryAcquire(1, now)) {
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
            failListing(
                    new WireException("listing of the open jobs timed out after " + LISTING_TIMEOUT.seconds() + " s"));
            return;
        }
        if (!pageReadLimiter.tryAcquire(1, now)) {
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
                        failListing(new WireException("listing of the open jobs failed: "
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
