package io.indigoreach.ownership;

import io.indigoreach.api.RequestRejectedException;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.ownership.Entry;
import io.indigoreach.core.ownership.JobRecords;
import io.indigoreach.core.ownership.Outcome;
import io.indigoreach.core.ownership.RecordId;
import io.indigoreach.core.ownership.Shown;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.WireException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** People's and tasks' words for records. */
public final class RecordsCodec {
    /** Of one request: its body and its answer have 64 KiB. */
    public static final int MOST_IDS = 400;

    private static final Pattern RUN = Pattern.compile("[A-Za-z0-9._-]{1,60}");
    private static final int LONGEST_REASON = 120;

    /** Who bills: a run, or a job's task. */
    record Holder(String name, String task, long attempt) {}

    private RecordsCodec() {}

    /** The records that a job names; throws {@link WireException} if they are malformed. */
    static JobRecords readField(JobSpec spec) {
        List<RecordId> ids = ids(new Fields(spec.more()).child(JobSpec.RECORDS), JobRecords.MOST);
        if (spec.isService()) {
            throw RequestRejectedException.of(
                    JobSpec.RECORDS, "a service never ends, so its records would never be billed");
        }
        return new JobRecords(ids, spec.tasks());
    }

    /** A list under {@code ids}, or {@code prefix}, {@code from} and {@code to}: a range of a group. */
    static List<RecordId> ids(Fields f, int most) {
        List<RecordId> ids;
        if (f.has("prefix")) {
            long from = f.wholeNumber("from");
            long to = f.wholeNumber("to");
            String prefix = f.text("prefix");
            if (from < 0
                    || to < from
                    || to - from >= most
                    || to > Integer.MAX_VALUE
                    || !RecordId.isValid(prefix + to)) {
                throw Fields.invalid("to");
            }
            ids = List.copyOf(JobRecords.range(prefix, (int) from, (int) to));
        } else {
            List<String> texts = f.optionalTexts("ids");
            if (texts == null || texts.isEmpty() || texts.size() > most) {
                throw Fields.invalid("ids");
            }
            ids = texts.stream().map(t -> id("ids", t)).toList();
        }
        if (new LinkedHashSet<>(ids).size() < ids.size()) {
            throw new WireException("invalid field ids: a record is named twice");
        }
        return ids;
    }

    static RecordId id(String field, String text) {
        if (!RecordId.isValid(text)) {
            throw Fields.invalid(field);
        }
        return new RecordId(text);
    }

    static String run(Fields f) {
        String run = f.text("run");
        if (!RUN.matcher(run).matches() || JobId.isValid(run)) {
            throw Fields.invalid("run");
        }
        return run;
    }

    static Holder holder(Fields f) {
        long attempt = f.wholeNumber("attempt", 0);
        if (attempt < 0) {
            throw Fields.invalid("attempt");
        }
        if (!f.has("job")) {
            return new Holder(run(f), "", attempt);
        }
        if (!JobId.isValid(f.text("job"))) {
            throw Fields.invalid("job");
        }
        long task = f.wholeNumber("task");
        if (task < 0) {
            throw Fields.invalid("task");
        }
        return new Holder(f.text("job"), Long.toString(task), attempt);
    }

    static Map<RecordId, Long> fences(Fields f) {
        Map<RecordId, Long> fences = new LinkedHashMap<>();
        Fields given = f.child("fences");
        given.map().keySet().forEach(id -> fences.put(id("fences", id), given.wholeNumber(id)));
        if (fences.isEmpty() || fences.size() > MOST_IDS) {
            throw Fields.invalid("fences");
        }
        return fences;
    }

    /** Who says it and why, as it stands in the registry. */
    static String reason(Fields f) {
        String by = f.text("by");
        String reason = f.text("reason").trim();
        if (!RUN.matcher(by).matches()) {
            throw Fields.invalid("by");
        }
        if (reason.isEmpty()
                || reason.length() > LONGEST_REASON
                || reason.chars().anyMatch(c -> c < ' ' || c == '"' || c == '\\')) {
            throw Fields.invalid("reason");
        }
        return by + ": " + reason;
    }

    static Entry.State state(Fields f) {
        return switch (f.text("as")) {
            case "free" -> Entry.State.FREE;
            case "billed" -> Entry.State.BILLED;
            case "doubt" -> Entry.State.DOUBT;
            default -> throw Fields.invalid("as");
        };
    }

    static Map<String, Object> write(Outcome outcome) {
        Map<String, Object> fences = new LinkedHashMap<>();
        List<Object> billed = new ArrayList<>();
        outcome.done().forEach((id, e) -> {
            fences.put(id.text(), e.fence());
            if (e.state() == Entry.State.BILLED) {
                billed.add(id.text());
            }
        });
        Map<String, Object> map = MessagePackFormat.map("fences", fences, "billed", billed);
        if (!outcome.isDone()) {
            map.put("error", outcome.against().get(0));
            map.put("against", outcome.against());
        }
        return map;
    }

    static Map<String, Object> write(RecordId id, Shown s) {
        Map<String, Object> map = MessagePackFormat.map("id", id.text(), "state", s.state());
        if (!s.name().isEmpty()) {
            map.put("by", s.name());
            map.put("since_s", s.sinceMs() / 1000);
        }
        if (s.fence() > 0) {
            map.put("fence", s.fence());
            map.put("attempt", s.attempt());
        }
        return map;
    }
}
