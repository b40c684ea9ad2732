package io.indigoreach.checker;

import io.indigoreach.checker.Breach.Rule;
import io.indigoreach.checker.Event.Question;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Whether recorded calls about jobs are linearizable, with each job as a register that only moves on: never accepted, then open, then
 * done or cancelled, one of them for ever. Whether an open job is pending or running is display, and so are counts.
 *
 * <p>For such a register the check is exact and needs no search. Between calls that overlap nothing is asked. The register has left a
 * stage by the earliest end of a call that saw a later one, and is still in it at the latest begin of a call that saw it; an order of
 * all calls exists if no call begins after an end of one that saw a later stage, all ends told are the same, and each step has its cause.
 */
public final class JobRegisters {
    /** What a call says of its job, in the order of the register; {@link #NOTHING} if it says nothing. */
    private enum Stage {
        NOTHING,
        NEVER,
        OPEN,
        OVER
    }

    /**
     * A call with the moments at which it was sent and answered, on one steady clock of any unit; {@code http} is 0 if there was no
     * answer, and {@code told} null if the answer has no status.
     */
    public record Call(long begin, long end, Question question, JobId job, String node, int http, JobStatus told) {
        private Stage stage() {
            if (told != null) {
                return told.isFinal() ? Stage.OVER : Stage.OPEN;
            }
            boolean refused = question == Question.SUBMIT && (http == 400 || http == 422);
            return http == 404 || refused ? Stage.NEVER : Stage.NOTHING;
        }

        private boolean accepts() {
            return question == Question.SUBMIT && http == 201;
        }
    }

    /** A call that cannot be put in order after {@code before}, which is null where it is the first that tells. */
    public record Finding(Rule rule, Call before, Call call, String what) {}

    private final List<Finding> findings = new ArrayList<>();

    private JobRegisters() {}

    /** What is wrong with these calls, in any order; empty if they are linearizable. */
    public static List<Finding> check(List<Call> calls) {
        JobRegisters registers = new JobRegisters();
        Map<JobId, List<Call>> byJob = new LinkedHashMap<>();
        calls.stream()
                .sorted(Comparator.comparingLong(Call::end))
                .forEach(c ->
                        byJob.computeIfAbsent(c.job(), id -> new ArrayList<>()).add(c));
        byJob.values().forEach(registers::checkJob);
        return registers.findings;
    }

    /** The calls of one job, sorted by their ends: the first of a kind is the one that ended first. */
    private void checkJob(List<Call> calls) {
        Call accepted = first(calls, c -> c.stage().compareTo(Stage.OPEN) >= 0);
        Call over = first(calls, c -> c.stage() == Stage.OVER);
        Call acceptance = first(calls, Call::accepts);
        for (Call call : calls) {
            if (call.stage() == Stage.NEVER && isAfter(call, accepted)) {
                find(Rule.FORGOTTEN, accepted, call, "was accepted and is answered " + call.http());
            }
            if (call.stage() == Stage.OPEN && isAfter(call, over)) {
                find(Rule.WENT_BACK, over, call, "was called " + over.told() + " and is called " + call.told());
            }
            if (call.stage() == Stage.OVER && call.told() != over.told()) {
                find(Rule.WENT_BACK, over, call, "has two ends: " + over.told() + " and " + call.told());
            }
            if (call.accepts() && (isAfter(call, accepted) || !call.equals(acceptance))) {
                find(Rule.FORGOTTEN, accepted, call, "is accepted a second time");
            }
        }
        checkCause(calls, accepted, c -> c.question() == Question.SUBMIT, "nobody submitted it");
        Call cancelled = first(calls, c -> c.told() == JobStatus.CANCELLED);
        checkCause(calls, cancelled, c -> c.question() == Question.CANCEL, "nobody cancelled it");
    }

    /** A step needs a call that may have made it: one that began before the first answer that tells of it. */
    private void checkCause(List<Call> calls, Call told, Predicate<Call> makes, String what) {
        if (told != null && calls.stream().noneMatch(c -> makes.test(c) && c.begin() <= told.end())) {
            find(Rule.INVENTED, null, told, "is answered " + told.told() + " though " + what);
        }
    }

    private static Call first(List<Call> calls, Predicate<Call> kind) {
        return calls.stream().filter(kind).findFirst().orElse(null);
    }

    private static boolean isAfter(Call call, Call other) {
        return other != null && call.begin() > other.end();
    }

    private void find(Rule rule, Call before, Call call, String what) {
        findings.add(new Finding(rule, before, call, call.job() + " " + what));
    }
}
