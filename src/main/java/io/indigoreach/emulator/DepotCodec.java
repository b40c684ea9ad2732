package io.indigoreach.emulator;

import io.indigoreach.api.JobCodec;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Span;
import io.indigoreach.emulator.model.Depot;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.Map;

/** The depot's words: how users upload what their jobs' tasks do, and what an emulator tells of itself. */
public final class DepotCodec {
    public static final String UPLOAD = "/upload";
    public static final String SUMMARY = "/summary";

    /** A job's description and how its tasks behave. */
    public record Upload(JobSpec spec, Depot.Conduct conduct) {}

    /** How the emulated cloud stands: machines that boot, are up and have failed, and the money spent so far. */
    public record Summary(int booting, int up, int failed, double spent) {}

    private DepotCodec() {}

    public static Map<String, Object> write(Upload u) {
        Map<String, Object> map = JobCodec.write(u.spec);
        map.put("really_s", u.conduct.run().seconds());
        map.put("differ", u.conduct.spread());
        map.put("fails", u.conduct.fails());
        return map;
    }

    static Upload read(Fields f) {
        return new Upload(
                JobCodec.read(f),
                new Depot.Conduct(
                        Span.seconds(f.number("really_s", 0)),
                        f.number("differ", Depot.Conduct.AS_ESTIMATED.spread()),
                        f.flag("fails", false)));
    }

    static Map<String, Object> write(Summary s) {
        return MessagePackFormat.map("booting", s.booting, "up", s.up, "failed", s.failed, "spent", s.spent);
    }

    public static Summary readSummary(Fields f) {
        return new Summary(
                (int) f.wholeNumber("booting"),
                (int) f.wholeNumber("up"),
                (int) f.wholeNumber("failed"),
                f.number("spent"));
    }
}
