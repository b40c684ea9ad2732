package io.indigoreach.warm;

import io.indigoreach.GoldenFile;
import io.indigoreach.GoldenSamples;
import io.indigoreach.core.accounts.Account;
import io.indigoreach.core.accounts.Line;
import io.indigoreach.core.accounts.Sheet;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.warm.BurstWindow;
import io.indigoreach.core.warm.DemandHistory;
import io.indigoreach.core.warm.PoolSpec;
import io.indigoreach.core.warm.PoolStatus;
import io.indigoreach.net.MessagePackFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Pools, their accounts and what was seen of them, as they stand in records and are sent by people. */
class GoldenPoolsTest {
    private static final PoolSpec FULL = new PoolSpec(
            "model-a",
            "vision",
            "img-07",
            6.2,
            new Demand(8, 1, 64),
            List.of("g8", "quad"),
            List.of("a", "b"),
            0.5,
            2,
            40,
            0.95,
            List.of(new BurstWindow(510, 600, 12.5), new BurstWindow(1439, 0, 3)),
            true,
            100.25,
            true);

    private static Map<String, Object> fewest() {
        return MessagePackFormat.map("team", "t", "image", "i", "gb", 1L, "cores", 1L, "least", 0L, "most", 3L);
    }

    private static Map<String, Object> with(String field, Object value) {
        Map<String, Object> pool = fewest();
        pool.put(field, value);
        return pool;
    }

    private static Sheet sheet() {
        Map<MachineId, Line> lines = new LinkedHashMap<>();
        MachineId first = new MachineId("vm-000231");
        lines.put(
                first,
                new Line(
                        first,
                        new MachinePool("g8", "a", true),
                        GoldenSamples.TIME_OF_DAY_MS,
                        GoldenSamples.TIME_OF_DAY_MS + 1,
                        new Account("model-a", "vision"),
                        "img-07",
                        6.2,
                        88));
        MachineId second = new MachineId("vm-000232");
        lines.put(
                second,
                new Line(
                        second,
                        new MachinePool("quad", "b", false),
                        GoldenSamples.TIME_OF_DAY_MS,
                        GoldenSamples.TIME_OF_DAY_MS,
                        new Account("", ""),
                        "",
                        0,
                        0));
        return new Sheet(
                lines,
                Map.of(new Account("model-a", "vision"), 1.25, new Account("", "t"), 0.1, new Account("", ""), 7.0));
    }

    private static DemandHistory seen() {
        int[] peaks = new int[DemandHistory.SLOTS * DemandHistory.DAYS];
        for (int i = 0; i < peaks.length; i++) {
            peaks[i] = i % 5 - 1;
        }
        return DemandHistory.of(peaks);
    }

    @Test
    void whatIsKeptAndSent() {
        GoldenFile golden = new GoldenFile("pools.txt");
        golden.expectText(
                "keys",
                String.join(
                        " ",
                        PoolRecords.POOLS,
                        PoolRecords.SHEETS,
                        PoolRecords.TOLD,
                        PoolRecords.SEEN,
                        PoolRecords.sheet(7),
                        Integer.toString(PoolRecords.sheetOf(PoolRecords.sheet(12)))));
        golden.expectRoundTrip("pool", FULL, PoolCodec::write, f -> PoolCodec.read("model-a", f))
                .expectDecoded("pool with the fewest fields", fewest(), f -> PoolCodec.write(PoolCodec.read("p", f)));
        for (String field : fewest().keySet()) {
            golden.expectRejected("pool without " + field, with(field, null), f -> PoolCodec.read("p", f));
        }
        MessagePackFormat.map(
                        "team",
                        "",
                        "gb",
                        -1L,
                        "cores",
                        "two",
                        "gpus",
                        1e10,
                        "least",
                        -1L,
                        "most",
                        1.5,
                        "wanted",
                        "all",
                        "windows",
                        List.of(List.of("8:30", "10:00", 1L)),
                        "types",
                        "g8",
                        "spot",
                        1L)
                .forEach((field, value) -> golden.expectRejected(
                        "pool with another " + field, with(field, value), f -> PoolCodec.read("p", f)));
        golden.expectRoundTrip("sheet", sheet(), PoolCodec::write, f -> PoolCodec.readSheet(f.map()))
                .expectRoundTrip("empty sheet", Sheet.EMPTY, PoolCodec::write, f -> PoolCodec.readSheet(f.map()))
                .expectEncoded(
                        "told", PoolCodec.write(new PoolStatus("model-a", 12, "two bursts", 10, 8, 2, 300, 4, 0.125)))
                .expectReencoded("seen", seen(), PoolCodec::write, f -> PoolCodec.readSeen(f.map()))
                .expectReencoded(
                        "nothing seen", new DemandHistory(), PoolCodec::write, f -> PoolCodec.readSeen(f.map()));
        golden.verify();
    }
}
