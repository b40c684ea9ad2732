package io.indigoreach.cluster;

import io.indigoreach.core.model.Revision;
import io.indigoreach.net.WireException;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads all records with a prefix, page by page. Bound to the event loop of its state client. */
final class RecordListing {
    private static final Logger LOG = LoggerFactory.getLogger(RecordListing.class);
    private static final int PAGE_SIZE = 500;

    private final StateClient state;
    private final Revision leadershipRevision;
    private final String prefix;
    private final Consumer<StateClient.Entry> consumer;

    private RecordListing(
            StateClient state, Revision leadershipRevision, String prefix, Consumer<StateClient.Entry> consumer) {
        this.state = state;
        this.leadershipRevision = leadershipRevision;
        this.prefix = prefix;
        this.consumer = consumer;
    }

    /**
     * Passes every record with a prefix to the consumer and returns the revision from which to watch for changes. Fails if a
     * page is older than {@code leadershipRevision}, and with {@link UnreadableRecordException} if the consumer cannot decode a
     * record.
     */
    static Future<Long> readAll(
            StateClient state, Revision leadershipRevision, String prefix, Consumer<StateClient.Entry> consumer) {
        return new RecordListing(state, leadershipRevision, prefix, consumer).readFrom(null, Long.MAX_VALUE);
    }

    private Future<Long> readFrom(String lastKey, long oldestRevision) {
        return state.list(prefix, lastKey, PAGE_SIZE).compose(page -> accept(page, oldestRevision));
    }

    private Future<Long> accept(StateClient.Page page, long oldestRevision) {
        if (page.revision() < leadershipRevision.value()) {
            // The last writes of an earlier leader could be missing, in particular machines that run tasks.
            return Future.failedFuture(
                    new WireException("the state service returned a listing older than this leadership"));
        }
        List<StateClient.Entry> entries = page.entries();
        for (StateClient.Entry entry : entries) {
            try {
                consumer.accept(entry);
            } catch (WireException e) {
                return Future.failedFuture(new UnreadableRecordException(entry.key(), e));
            }
        }
        // A watch from the revision of the oldest page reports all changes that a page did not include yet.
        long revision = Math.min(oldestRevision, page.revision());
        if (page.hasMore() && !entries.isEmpty()) {
            return readFrom(entries.get(entries.size() - 1).key(), revision);
        }
        return Future.succeededFuture(revision);
    }

    /**
     * Decodes one record; logs a failure and returns false if it cannot be decoded. Used for records that may be skipped: an
     * unreadable job must not block other jobs, and the tasks of an unreadable block of completion bits run again, which is
     * harmless as their results are kept. A machine page must not be skipped, as its machines may run tasks.
     */
    static boolean readOrLog(String key, Runnable decode) {
        try {
            decode.run();
            return true;
        } catch (WireException e) {
            LOG.error("record unreadable key={} cause={}", key, e.getMessage());
            return false;
        }
    }
}
