package io.indigoreach.tools;

import io.indigoreach.api.JobCodec;
import io.vertx.core.json.JsonObject;
import java.util.Locale;

/** How jobs are shown, each on a line or as JSON. */
final class Lines {
    private Lines() {}

    static String of(JobCodec.Progress p, boolean json) {
        String status = p.status().name().toLowerCase(Locale.ROOT);
        return json
                ? new JsonObject()
                        .put("id", p.id().text())
                        .put("status", status)
                        .put("done", p.doneTasks())
                        .put("running", p.runningTasks())
                        .encode()
                : String.format(
                        Locale.ROOT,
                        "%-24s %-10s %6d done %6d running",
                        p.id(),
                        status,
                        p.doneTasks(),
                        p.runningTasks());
    }
}
