package io.indigoreach.state;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The record of the era: the epoch of the stored data, which changes when data were lost and rebuilt. */
public final class EraRecordCodec {
    /** The era, by the token of the leadership that wrote it. */
    public static Map<String, Object> writeEra(FencingToken token) {
        return MessagePackFormat.map("token", token.value());
    }

    /** The same after a loss, with the evidence and the number of records rebuilt; {@code atMs} is the time of day. */
    public static Map<String, Object> writeEra(FencingToken token, long atMs, List<String> findings, int written) {
        return MessagePackFormat.map("token", token.value(), "at", atMs, "findings", findings, "written", written);
    }

    /** What the loss before this era was, in words for a person; empty if there was none. */
    public static List<String> readLoss(Fields era) {
        List<String> findings = era.optionalTexts("findings");
        List<String> out = new ArrayList<>();
        if (findings != null) {
            out.add("found and rebuilt by " + Instant.ofEpochMilli(era.wholeNumber("at")) + ": "
                    + era.wholeNumber("written") + " records written anew");
            out.addAll(findings);
        }
        return out;
    }

    /** The number of the era. */
    public static long readEra(Fields era) {
        return era.wholeNumber("token");
    }

    private EraRecordCodec() {}
}
