package io.indigoreach.state;

import io.indigoreach.GoldenFile;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What is asked of the state service, and its answers. */
class GoldenStateServiceTest {
    private static final Map<String, Object> VALUE = MessagePackFormat.map(
            "n", 1L, "list", List.of("a", 2.5, true), "nothing", null, "map", MessagePackFormat.map("x", -7L));

    private static StateClient.Entry entry(String key, Map<String, Object> value, long lease) {
        return new StateClient.Entry(key, new Fields(value), new Revision(4_000_000_000L), lease);
    }

    private static StateClient.Txn txn() {
        return new StateClient.Txn()
                .when("era", new Revision(9))
                .when("j/run-1", Revision.ABSENT)
                .put("j/run-1", VALUE)
                .put("leader", MessagePackFormat.map("n", 1L), 7)
                .put("any data", MessagePackFormat.map("", List.of(1L, "text")))
                .delete("f/run-1");
    }

    /** A transaction, which has no equality of its own, by what it says. */
    private static StateClient.Txn read(Fields f) {
        return StateCodec.readTxn(f);
    }

    private static Map<String, Object> write(StateClient.Outcome conflict) {
        return StateCodec.writeConflict(conflict.failed(), conflict.revision());
    }

    @Test
    void whatIsAskedAndAnswered() {
        GoldenFile golden = new GoldenFile("state-service.txt");
        golden.expectText("path of transactions", StateCodec.TXN)
                .expectText("path of a key", StateCodec.keyPath("j/run-1"))
                .expectText("first page", StateCodec.listPath("j/", null, 500))
                .expectText("next page", StateCodec.listPath("j/", "j/run-1", 500))
                .expectText("watch", StateCodec.watchPath("j/", 41, Span.seconds(20.5)))
                .expectText("path of leases", StateCodec.LEASES)
                .expectText("path of a lease", StateCodec.leasePath(7))
                .expectText("path of a renewal", StateCodec.leasePath(7) + StateCodec.RENEW)
                .expectText("reason where a lease is gone", StateCodec.NO_SUCH_LEASE);
        golden.expectRoundTrip("entry", entry("j/run-1", VALUE, 0), StateCodec::writeEntry, StateCodec::readEntry)
                .expectRoundTrip(
                        "entry under a lease",
                        entry("leader", MessagePackFormat.map("n", 1L), 7),
                        StateCodec::writeEntry,
                        StateCodec::readEntry)
                .expectRoundTrip(
                        "entry of any data",
                        entry("x", MessagePackFormat.map("", "text"), 0),
                        StateCodec::writeEntry,
                        StateCodec::readEntry)
                .expectRejected(
                        "entry without a version",
                        MessagePackFormat.map("path", "x", "data", Map.of()),
                        StateCodec::readEntry)
                .expectRoundTrip("revision", 41L, StateCodec::writeRevision, StateCodec::readRevision);
        golden.expectRoundTrip(
                        "page",
                        new StateClient.Page(
                                List.of(entry("j/run-1", VALUE, 0), entry("j/run-2", Map.of(), 3)), true, 41),
                        StateCodec::writePage,
                        StateCodec::readPage)
                .expectRoundTrip(
                        "last page",
                        new StateClient.Page(List.of(), false, 41),
                        StateCodec::writePage,
                        StateCodec::readPage);
        golden.expectReencoded("transaction", txn(), StateCodec::writeTxn, GoldenStateServiceTest::read)
                .expectReencoded(
                        "comparison",
                        new StateClient.Txn().when("era", new Revision(9)),
                        StateCodec::writeTxn,
                        GoldenStateServiceTest::read)
                .expectRejected(
                        "transaction without a key",
                        MessagePackFormat.map("writes", List.of(MessagePackFormat.map("data", Map.of()))),
                        GoldenStateServiceTest::read)
                .expectRoundTrip(
                        "conflict",
                        new StateClient.Outcome(false, 41, List.of("era", "j/run-1"), false),
                        GoldenStateServiceTest::write,
                        StateCodec::readConflict);
        golden.expectRoundTrip("life of a lease", Span.seconds(4.5), StateCodec::writeLife, StateCodec::readLife)
                .expectRoundTrip("lease", 7L, StateCodec::writeLease, StateCodec::readLease);
        golden.expectRoundTrip(
                        "changes",
                        new StateClient.Changes(
                                List.of(
                                        new StateClient.Change("j/run-1", new Fields(VALUE), new Revision(40)),
                                        new StateClient.Change("j/run-2", null, new Revision(41))),
                                41,
                                false),
                        StateCodec::writeChanges,
                        StateCodec::readChanges)
                .expectRoundTrip(
                        "no changes",
                        new StateClient.Changes(List.of(), 41, false),
                        StateCodec::writeChanges,
                        StateCodec::readChanges);
        golden.verify();
    }
}
