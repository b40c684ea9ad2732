package io.indigoreach.state;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Encodes and decodes the record of the era: the epoch of the stored data, which changes when lost data are rebuilt. */
public final class EraRecordCodec {
    /** The value of an era, which is identified by the token of the leadership that wrote it. */
    public static Map<String, Object> writeEra(FencingToken token) {
        return MessagePackFormat.map("token", token.value());
    }

    /** The value of an era after a loss, with the evidence and the number of rebuilt records; {@code atMs} is time of day. */
    public static Map<String, Object> writeEra(
            FencingToken token, long atMs, List<String> findings, int rebuiltRecords) {
        return MessagePackFormat.map(
                "token", token.value(), "at", atMs, "findings", findings, "written", rebuiltRecords);
    }

    /** Describes the loss before this era in lines for an operator; empty if there was none. */
    public static List<String> describeLoss(Fields era) {
        List<String> findings = era.optionalTexts("findings");
        List<String> lines = new ArrayList<>();
        if (findings != null) {
            lines.add("found and rebuilt by " + Instant.ofEpochMilli(era.wholeNumber("at")) + ": "
                    + era.wholeNumber("written") + " records written anew");
            lines.addAll(findings);
        }
        return lines;
    }

    /** The number of the era. */
    public static long readEra(Fields era) {
        return era.wholeNumber("token");
    }

    private EraRecordCodec() {}
}
