package io.indigoreach.calendar;

import io.indigoreach.api.RequestRejectedException;
import io.indigoreach.api.SubmissionParticipant;
import io.indigoreach.core.calendar.Choice;
import io.indigoreach.core.calendar.Day;
import io.indigoreach.core.calendar.Mark;
import io.indigoreach.core.calendar.PageChange;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.net.Fields;
import io.indigoreach.state.RoutineRunner;
import io.vertx.core.Future;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * A plan's job is accepted in the transaction that marks its occurrence as accepted, and only under the id that stands there:
 * there is never a second one, whoever submits it.
 */
final class PlanJoining implements SubmissionParticipant {
    private final RoutineRunner records;
    private final LongSupplier time;

    PlanJoining(RoutineRunner records, LongSupplier time) {
        this.records = records;
        this.time = time;
    }

    @Override
    public String field() {
        return Choice.FIELD;
    }

    @Override
    public void validate(JobSpec spec) {
        name(spec);
        day(spec);
    }

    private static Fields field(JobSpec spec) {
        if (!(spec.more().get(Choice.FIELD) instanceof Map<?, ?>)) {
            throw Fields.invalid(Choice.FIELD);
        }
        return new Fields(spec.more()).child(Choice.FIELD);
    }

    private static String name(JobSpec spec) {
        return field(spec).text("name");
    }

    private static Day day(JobSpec spec) {
        try {
            return Day.parse(field(spec).text("day"));
        } catch (IllegalArgumentException e) {
            throw Fields.invalid(Choice.FIELD);
        }
    }

    @Override
    public Future<Transaction> prepareAcceptance(JobSpec spec) {
        return records.run(PageChange.reading(day(spec), name(spec))).map(page -> {
            Transaction change =
                    page == null ? null : page.accepting(name(spec), spec.id(), spec.tasks(), time.getAsLong());
            if (change != null) {
                return change;
            }
            Mark mark = page == null ? null : page.mark(name(spec));
            throw mark != null && mark.isSettled() && spec.id().equals(mark.id())
                    ? RequestRejectedException.conflict(
                            "this occurrence is settled",
                            Map.of("plan", mark.plan(), "state", mark.state().name()))
                    : RequestRejectedException.of(
                            Choice.FIELD,
                            "no occurrence is to be started by this job: plans submit their jobs themselves");
        });
    }

    @Override
    public void onAccepted(Transaction change, Revision stamp) {
        records.written(change, stamp);
    }
}
