package io.indigoreach.checker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.checker.Breach.Rule;
import io.indigoreach.checker.Event.Question;
import io.indigoreach.core.model.Attempt;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.state.StateClient.Txn;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Each rule with a history that breaks it, and the nearest one that does not. */
class CheckerTest {
    private static final Moment T = new Moment(0);
    private static final Checker.Limits LIMITS = new Checker.Limits(Span.seconds(10), Span.seconds(4));
    private static final Team TEAM = new Team("t", 0, 3, 0, 0);

    /** A history being told, in seconds. */
    private static final class Story {
        final History history = new History();

        Story job(int n, Consumer<boolean[]> kind) {
            // Whether spot machines are allowed, one zone is wanted, tasks are to be spread.
            boolean[] is = {true, false, false};
            kind.accept(is);
            history.add(new Event.Submitted(
                    at(0),
                    JobSpec.builder(id(n))
                            .jobClass("c")
                            .team("t")
                            .kind(JobKind.ARRAY)
                            .urgency(Urgency.STANDARD)
                            .taskCount(2)
                            .demand(new Resources(1, 0, 1))
                            .image("i")
                            .imageGb(0)
                            .machineTypes(List.of("m"))
                            .singleZone(is[1])
                            .spreadOverZones(is[2])
                            .spotAllowed(is[0])
                            .estimatedRunTime(Span.seconds(5))
                            .build()));
            return answer(0.1, 0, Question.SUBMIT, n, 201, JobStatus.PENDING);
        }

        Story job(int n) {
            return job(n, is -> {});
        }

        Story machine(String name, String type, String zone, boolean spot) {
            history.add(new Event.MachineUp(at(0), new MachineId(name), new MachinePool(type, zone, spot)));
            return this;
        }

        Story on(double s, String machine, int job, int index, long attempt) {
            TaskId task = new TaskId(id(job), index);
            history.add(
                    new Event.Started(at(s), new MachineId(machine), task, new Attempt(attempt), new FencingToken(1)));
            history.add(new Event.Running(at(s), new MachineId(machine), task, new Attempt(attempt)));
            return this;
        }

        Story off(double s, String machine, int job, int index, long attempt, String why) {
            history.add(new Event.Off(
                    at(s), new MachineId(machine), new TaskId(id(job), index), new Attempt(attempt), why));
            return this;
        }

        Story reaped(double s, String machine, int job, int index, long attempt) {
            history.add(new Event.Forgotten(
                    at(s), new MachineId(machine), new TaskId(id(job), index), new Attempt(attempt)));
            return this;
        }

        Story answer(double s, double asked, Question question, int job, int http, JobStatus status) {
            history.add(new Event.Answered(at(s), at(asked), question, id(job), "node-0", http, status));
            return this;
        }

        Story poll(double s, int job, JobStatus status) {
            return answer(s, s - 0.05, Question.POLL, job, 200, status);
        }

        Story cancel(double s, int job) {
            history.add(new Event.CancelAsked(at(s), id(job)));
            return answer(s + 0.1, s, Question.CANCEL, job, 200, JobStatus.CANCELLED);
        }

        Story renewed(double s, double sent, int job, int index) {
            history.add(new Event.LeaseRenewed(
                    at(s), new MachineId("vm-1"), at(sent), false, List.of(new TaskId(id(job), index))));
            return this;
        }

        Story token(double s, String node, long token) {
            history.add(new Event.TokenSeen(at(s), node, new FencingToken(token)));
            return this;
        }

        Story process(double s, String node, boolean begins) {
            history.add(new Event.Process(at(s), node, begins));
            return this;
        }

        Story commit(long revision, Txn txn) {
            history.add(new Event.Committed(at((double) revision), "node-0", txn, revision));
            return this;
        }

        private static JobId id(int n) {
            return new JobId("run-" + n);
        }

        private static Moment at(double s) {
            return T.plus(Span.seconds(s));
        }
    }

    private static Story base() {
        return new Story()
                .job(1)
                .machine("vm-1", "m", "a", true)
                .machine("vm-2", "m", "b", false)
                .machine("vm-3", "q", "a", false)
                .on(1, "vm-1", 1, 0, 1);
    }

    private static Txn lead(long token, long lease, boolean counts, boolean conditional) {
        Txn txn = new Txn().put("leader", MessagePackFormat.map("node", "n", "process", "p", "token", token), lease);
        if (counts) {
            txn.when("counter", new Revision(0)).put("counter", MessagePackFormat.map("value", token));
        }
        return conditional ? txn.when("leader", new Revision(0)) : txn;
    }

    private static Txn put(String key) {
        return new Txn().put(key, MessagePackFormat.map("v", 1));
    }

    static Stream<Arguments> stories() {
        List<Arguments> all = new ArrayList<>();
        add(
                all,
                "moved once it was gone",
                null,
                base().off(5, "vm-1", 1, 0, 1, "lease").on(5, "vm-2", 1, 0, 2));
        add(
                all,
                "twice",
                Rule.RAN_TWICE,
                base().off(5, "vm-1", 1, 0, 1, "lease").on(4.9, "vm-2", 1, 0, 2));
        add(all, "twice, the first for ever", Rule.RAN_TWICE, base().on(4, "vm-2", 1, 0, 2));
        add(
                all,
                "as much as the limit",
                null,
                base().job(2)
                        .on(2, "vm-1", 1, 1, 2)
                        .on(2, "vm-2", 2, 0, 3)
                        .off(3, "vm-2", 2, 0, 3, "done")
                        .on(3, "vm-2", 2, 1, 4));
        add(
                all,
                "over the limit",
                Rule.QUOTA,
                base().job(2).on(2, "vm-1", 1, 1, 2).on(2, "vm-2", 2, 0, 3).on(2.5, "vm-2", 2, 1, 4));
        add(all, "a type not allowed", Rule.WRONG_PLACE, base().on(2, "vm-3", 1, 1, 2));
        add(
                all,
                "a spot machine not allowed",
                Rule.WRONG_PLACE,
                base().job(2, is -> is[0] = false).on(2, "vm-1", 2, 0, 2));
        add(all, "an ordinary machine", null, base().job(2, is -> is[0] = false).on(2, "vm-2", 2, 0, 2));
        add(
                all,
                "two zones",
                Rule.WRONG_PLACE,
                base().job(2, is -> is[1] = true).on(2, "vm-1", 2, 0, 2).on(3, "vm-2", 2, 1, 3));
        add(
                all,
                "two zones one after the other",
                null,
                base().job(2, is -> is[1] = true)
                        .on(2, "vm-1", 2, 0, 2)
                        .off(3, "vm-1", 2, 0, 2, "stopped")
                        .on(3, "vm-2", 2, 1, 3));
        add(
                all,
                "not spread",
                Rule.WRONG_PLACE,
                base().job(2, is -> is[2] = true).on(2, "vm-1", 2, 0, 2).on(3, "vm-1", 2, 1, 3));
        add(all, "cancelled and gone in time", null, base().cancel(5, 1).off(14, "vm-1", 1, 0, 1, "stopped"));
        add(
                all,
                "cancelled and still there",
                Rule.RAN_CANCELLED,
                base().cancel(5, 1).off(16, "vm-1", 1, 0, 1, "stopped"));
        add(
                all,
                "cancelled and started late",
                Rule.RAN_CANCELLED,
                base().cancel(5, 1)
                        .off(6, "vm-1", 1, 0, 1, "stopped")
                        .on(20, "vm-2", 1, 1, 2)
                        .off(21, "vm-2", 1, 1, 2, "stopped"));
        add(all, "forgotten", Rule.FORGOTTEN, base().answer(3, 2.9, Question.POLL, 1, 404, null));
        add(all, "not known while it was being accepted", null, base().answer(3, 0.05, Question.POLL, 1, 404, null));
        add(all, "refused when repeated", Rule.FORGOTTEN, base().answer(3, 2.9, Question.SUBMIT, 1, 422, null));
        add(all, "unanswered for long, alone", Rule.FORGOTTEN, unanswered(true));
        add(all, "unanswered for long, like all", null, unanswered(false));
        add(all, "invented", Rule.INVENTED, base().poll(3, 8, JobStatus.PENDING));
        add(
                all,
                "done",
                null,
                base().on(1, "vm-1", 1, 1, 2)
                        .off(4, "vm-1", 1, 0, 1, "done")
                        .off(5, "vm-1", 1, 1, 2, "done")
                        .poll(6, 1, JobStatus.DONE));
        add(
                all,
                "done too soon",
                Rule.NOT_DONE,
                base().on(1, "vm-1", 1, 1, 2)
                        .off(4, "vm-1", 1, 0, 1, "done")
                        .off(6.1, "vm-1", 1, 1, 2, "done")
                        .poll(6, 1, JobStatus.DONE));
        add(
                all,
                "renewed beyond the time of a cancelled job",
                Rule.RENEWED_CANCELLED,
                base().cancel(5, 1).renewed(11.7, 11.5, 1, 0).off(13, "vm-1", 1, 0, 1, "stopped"));
        add(
                all,
                "renewed within the time of a cancelled job",
                null,
                base().cancel(5, 1).renewed(11.7, 11, 1, 0).off(13, "vm-1", 1, 0, 1, "stopped"));
        add(
                all,
                "renewed with a task of another job",
                null,
                base().job(2).cancel(5, 1).renewed(11.7, 11.5, 2, 0).off(13, "vm-1", 1, 0, 1, "stopped"));
        add(
                all,
                "back from cancelled",
                Rule.WENT_BACK,
                base().cancel(5, 1).off(6, "vm-1", 1, 0, 1, "stopped").poll(7, 1, JobStatus.RUNNING));
        add(
                all,
                "an older answer under way",
                null,
                base().cancel(5, 1)
                        .off(6, "vm-1", 1, 0, 1, "stopped")
                        .answer(7, 5.05, Question.POLL, 1, 200, JobStatus.RUNNING));
        add(
                all,
                "cancelled by nobody",
                Rule.WENT_BACK,
                base().poll(3, 1, JobStatus.CANCELLED).off(6, "vm-1", 1, 0, 1, "stopped"));
        add(all, "nothing ran", Rule.NOTHING_RAN, new Story().job(1));
        add(
                all,
                "started again after reap",
                Rule.START_AFTER_REAP,
                base().off(3, "vm-1", 1, 0, 1, "error")
                        .reaped(4, "vm-1", 1, 0, 1)
                        .on(5, "vm-1", 1, 0, 1));
        add(
                all,
                "another attempt after reap",
                null,
                base().off(3, "vm-1", 1, 0, 1, "error")
                        .reaped(4, "vm-1", 1, 0, 1)
                        .on(5, "vm-1", 1, 0, 2));
        add(
                all,
                "a blind write",
                Rule.BLIND_WRITE,
                base().commit(1, put("j/run-1").when("j/run-1", Revision.ABSENT))
                        .commit(2, put("j/run-1")));
        add(
                all,
                "written on its version",
                null,
                base().commit(1, put("j/run-1").when("j/run-1", Revision.ABSENT))
                        .commit(2, put("j/run-1").when("j/run-1", new Revision(1)))
                        .commit(3, put("f/run-1").delete("j/run-1").when("j/run-1", new Revision(2))));
        add(
                all,
                "an end on the absence of the open job",
                Rule.BLIND_WRITE,
                base().commit(1, put("f/run-1").when("j/run-1", Revision.ABSENT)));
        add(
                all,
                "machines as a leader",
                null,
                base().commit(1, lead(1, 7, true, true)).commit(2, put("m/1-1").when("leader", new Revision(1))));
        add(all, "machines as nobody", Rule.BLIND_WRITE, base().commit(1, put("m/1-1")));
        add(
                all,
                "leading with the same token",
                Rule.LEADERSHIP,
                base().commit(1, lead(4, 7, true, true)).commit(2, lead(4, 8, true, true)));
        add(all, "leading without a lease", Rule.LEADERSHIP, base().commit(1, lead(4, 0, true, true)));
        add(all, "leading without counting", Rule.LEADERSHIP, base().commit(1, lead(4, 7, false, true)));
        add(all, "leading without a condition", Rule.BLIND_WRITE, base().commit(1, lead(4, 7, true, false)));
        add(
                all,
                "tokens in turn",
                null,
                base().process(0, "node-0", true)
                        .token(1, "node-0", 1)
                        .token(2, "node-1", 2)
                        .token(3, "node-0", 1));
        add(
                all,
                "another's token",
                Rule.TOKEN_REUSED,
                base().token(1, "node-0", 1).token(2, "node-1", 1));
        add(
                all,
                "the token of the process before",
                Rule.TOKEN_REUSED,
                base().process(0, "node-0", true)
                        .token(1, "node-0", 1)
                        .process(2, "node-0", false)
                        .process(3, "node-0", true)
                        .token(4, "node-0", 1));
        return all.stream();
    }

    private static Story unanswered(boolean othersAre) {
        Story story = base().job(2).poll(2, 1, JobStatus.RUNNING);
        for (int s = 10; s < 110; s += 5) {
            story.answer(s, s - 1, Question.POLL, 1, 0, null);
            story.answer(s + 1, s, Question.POLL, 2, othersAre ? 200 : 503, othersAre ? JobStatus.PENDING : null);
            story.answer(s + 2, s + 1, Question.POLL, 2, othersAre ? 200 : 503, othersAre ? JobStatus.PENDING : null);
        }
        return story;
    }

    private static void add(List<Arguments> all, String name, Rule broken, Story story) {
        all.add(Arguments.of(name, broken, story.history));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("stories")
    void findsWhatIsBroken(String name, Rule broken, History history) {
        List<Breach> found = Checker.check(history, T, LIMITS, List.of(TEAM));
        assertEquals(
                broken == null ? List.of() : List.of(broken),
                found.stream().map(Breach::rule).distinct().toList(),
                found.toString());
    }
}
