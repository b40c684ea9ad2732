package io.indigoreach.ownership;

import io.indigoreach.api.ApiResponse;
import io.indigoreach.api.NotFoundException;
import io.indigoreach.api.Resource;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.ownership.Beginning;
import io.indigoreach.core.ownership.Edit;
import io.indigoreach.core.ownership.Ending;
import io.indigoreach.core.ownership.JobRecords;
import io.indigoreach.core.ownership.Outcome;
import io.indigoreach.core.ownership.RecordId;
import io.indigoreach.core.ownership.Registry;
import io.indigoreach.core.ownership.Shown;
import io.indigoreach.core.ownership.Survey;
import io.indigoreach.core.ownership.Take;
import io.indigoreach.core.ownership.Unsettled;
import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.StepResult;
import io.indigoreach.core.records.VersionedRecord;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.RoutineRunner;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What people, exports and tasks ask of the registry, at any node: {@code /api/records}. */
final class OwnershipService implements Resource {
    /** Requests that work at the same time: each holds the pages of its records. */
    private static final int MOST_AT_ONCE = 4;

    private static final int SHOWN_PAGES = 6;
    private static final int COUNTED_PAGES = 40;
    private static final long OVERDUE_S = 600;

    private final RoutineRunner records;
    private final Registry registry;
    private final int most;
    private final SteadyClock clock;
    private int working;

    OwnershipService(RoutineRunner records, Registry registry, int most, SteadyClock clock) {
        this.clock = clock;
        this.records = records;
        this.registry = registry;
        this.most = most;
    }

    @Override
    public Future<ApiResponse> serve(Request call) {
        String verb = call.path().isEmpty() ? "" : call.path().get(0);
        Future<ApiResponse> done = call.isPost() && call.path().size() == 1
                ? change(verb, call.body())
                : call.isGet() ? look(verb, call) : null;
        if (done == null) {
            throw new NotFoundException("no such path: see the operators' page on records");
        }
        return done;
    }

    private Future<ApiResponse> change(String verb, Fields f) {
        switch (verb) {
            case "claim":
                return outcome(new Take(
                        registry,
                        most,
                        RecordsCodec.run(f),
                        RecordsCodec.ids(f, RecordsCodec.MOST_IDS),
                        f.flag("last", true)));
            case "release":
                return outcome(
                        f.has("ids") || f.has("prefix")
                                ? Edit.release(
                                        registry, most, RecordsCodec.run(f), RecordsCodec.ids(f, RecordsCodec.MOST_IDS))
                                : new Ending(RecordsCodec.run(f)));
            case "billing": {
                RecordsCodec.Holder h = RecordsCodec.holder(f);
                return outcome(Edit.billing(
                        registry, most, h.name(), h.task(), h.attempt(), RecordsCodec.ids(f, RecordsCodec.MOST_IDS)));
            }
            case "billed": {
                RecordsCodec.Holder h = RecordsCodec.holder(f);
                return outcome(Edit.billed(registry, most, h.name(), h.task(), h.attempt(), RecordsCodec.fences(f)));
            }
            case "resolve":
                return outcome(Edit.resolve(
                        registry,
                        most,
                        RecordsCodec.state(f),
                        RecordsCodec.reason(f),
                        RecordsCodec.ids(f, RecordsCodec.MOST_IDS)));
            case "begin":
                return outcome(new Beginning(true, RecordsCodec.reason(f)));
            case "compared":
                return outcome(new Beginning(false, RecordsCodec.reason(f)));
            default:
                return null;
        }
    }

    private Future<ApiResponse> look(String verb, Request call) {
        String group = call.query().get("group");
        if (group != null && (!RecordId.isValid(group) || group.indexOf('/') >= 0)) {
            throw Fields.invalid("group");
        }
        switch (verb) {
            case "show":
                return run(Edit.show(registry, asked(call)))
                        .map(shown -> ApiResponse.ok(MessagePackFormat.map("records", lines(shown))));
            case "doubt":
                return run(new Survey(registry, group, call.query().get("after"), SHOWN_PAGES))
                        .map(part -> {
                            Map<RecordId, Shown> doubtful = new LinkedHashMap<>(part.records());
                            long now = clock.timeOfDay();
                            doubtful.values().removeIf(s -> !isDoubtful(s, now));
                            return ApiResponse.ok(
                                    MessagePackFormat.map("records", lines(doubtful), "after", part.after()));
                        });
            case "holders":
                return run(new Survey(registry, group, call.query().get("after"), COUNTED_PAGES))
                        .map(part -> {
                            Map<String, Object> counts = new LinkedHashMap<>();
                            part.records().values().stream()
                                    .filter(s -> !s.state().equals("free"))
                                    .forEach(s -> counts.merge(
                                            s.name().replaceAll("^(run-\\d+)/.*", "$1") + " " + s.state(),
                                            1L,
                                            (a, b) -> (Long) a + (Long) b));
                            return ApiResponse.ok(MessagePackFormat.map("holders", counts, "after", part.after()));
                        });
            case "jobs":
                return call.path().size() == 2 && JobId.isValid(call.path().get(1))
                        ? job(new JobId(call.path().get(1)))
                        : null;
            default:
                return null;
        }
    }

    /** What nobody goes on with, as far as can be seen from here. */
    private static boolean isDoubtful(Shown s, long now) {
        return s.state().equals("in doubt")
                || s.state().equals("unknown")
                || ((s.state().equals("billing") || s.state().equals("claimed"))
                        && now - s.sinceMs() > OVERDUE_S * 1000);
    }

    private static List<RecordId> asked(Request call) {
        String ids = call.query().getOrDefault("id", "");
        Set<RecordId> asked = new LinkedHashSet<>();
        Arrays.stream(ids.split(",")).forEach(id -> asked.add(RecordsCodec.id("id", id)));
        return new ArrayList<>(asked);
    }

    private static List<Object> lines(Map<RecordId, Shown> shown) {
        List<Object> lines = new ArrayList<>();
        shown.forEach((id, s) -> lines.add(RecordsCodec.write(id, s)));
        return lines;
    }

    /** For whom an open job's tasks wait. */
    private Future<ApiResponse> job(JobId id) {
        return records.run(read(RecordKeys.openKey(id))).compose(kept -> {
            if (!kept.exists()) {
                throw new NotFoundException("no open job " + id);
            }
            JobSpec spec = JobRecordCodec.readJob(id, new Fields(kept.value()), kept.revision())
                    .spec();
            if (!spec.isGuarded()) {
                throw new NotFoundException("job " + id + " names no records");
            }
            JobRecords wants = RecordsCodec.readField(spec);
            return run(Edit.show(registry, wants.list())).map(shown -> {
                Map<RecordId, Shown> waited = new LinkedHashMap<>(shown);
                waited.entrySet().removeIf(e -> e.getValue().name().startsWith(id + "/"));
                List<Object> some = lines(waited);
                return ApiResponse.ok(MessagePackFormat.map(
                        "id",
                        id.text(),
                        "records",
                        wants.list().size(),
                        "lacking",
                        waited.size(),
                        "waits_for",
                        some.subList(0, Math.min(some.size(), RecordsCodec.MOST_IDS / 2))));
            });
        });
    }

    private static Routine<VersionedRecord> read(String key) {
        return new Routine<>() {
            private boolean asked;

            @Override
            public Step<VersionedRecord> next(StepResult seen) {
                if (asked) {
                    return new Step.End<>(seen.record(key));
                }
                asked = true;
                return new Step.Read<>(List.of(key));
            }
        };
    }

    private Future<ApiResponse> outcome(Routine<Outcome> routine) {
        return run(routine)
                .map(o -> o.waits()
                        ? ApiResponse.retryLater(o.against().get(0))
                        : new ApiResponse(o.isDone() ? 200 : 409, RecordsCodec.write(o), 0))
                .recover(e -> e instanceof Unsettled
                        ? Future.succeededFuture(ApiResponse.retryLater(e.getMessage()))
                        : Future.failedFuture(e));
    }

    private <R> Future<R> run(Routine<R> routine) {
        if (working >= MOST_AT_ONCE) {
            return Future.failedFuture(new IllegalStateException("too many requests for records at this node"));
        }
        working++;
        return records.run(routine).onComplete(r -> working--);
    }
}
