package io.indigoreach.tools;

import io.indigoreach.net.MessagePackFormat;
import java.util.Map;
import picocli.CommandLine.Option;

/** Who says so, and why. */
final class RecordsAuthor {
    @Option(names = "--by", required = true, description = "who says so")
    String by;

    @Option(names = "--reason", required = true, description = "why, up to 120 characters; stays with the record")
    String reason;

    Map<String, Object> body() {
        return MessagePackFormat.map("by", by, "reason", reason);
    }
}
