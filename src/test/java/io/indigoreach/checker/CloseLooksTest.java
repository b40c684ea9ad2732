package io.indigoreach.checker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.api.ApiResponse;
import io.indigoreach.api.JobService;
import io.indigoreach.checker.Breach.Rule;
import io.indigoreach.checker.Event.Question;
import io.indigoreach.checker.FrontDoors.Door;
import io.indigoreach.checker.JobRegisters.Call;
import io.indigoreach.checker.JobRegisters.Finding;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.net.Fields;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Users ask at all nodes within milliseconds, and submit again, right after a job was accepted, ended or cancelled, while the state service
 * answers late, loses answers, carries transactions out late or refuses a node, and nodes stand still and begin anew. What is drawn comes
 * from the seed; how calls overlap is the machine's, so a seed is played and not replayed.
 */
@Isolated
class CloseLooksTest {
    private static final int JOBS = 12;
    private static final int ROUNDS = 14;
    private static final int LONGEST_LAG_MS = 40;
    private static final int LONGEST_TROUBLE_MS = 80;
    private static final int MOST_TRIES = 200;
    private static final int MOST_SEEDS = 8;

    /** One run: its doors, its draws and the jobs that are looked at. */
    private static final class Run implements AutoCloseable {
        private final FrontDoors doors;
        private final SplittableRandom random;
        private final List<JobId> jobs = new ArrayList<>();

        Run(int nodes, long seed, Function<JobService, Door> planted) throws Exception {
            doors = new FrontDoors(nodes, planted);
            random = new SplittableRandom(seed);
            for (int n = 0; n < JOBS; n++) {
                jobs.add(new JobId("run-" + n));
            }
        }

        /** In each round a trouble begins and every job is asked about, or led on, and closely looked at as that is answered. */
        List<Finding> play() throws Exception {
            SplittableRandom draws = random.split();
            doors.trouble(() -> {
                doors.service.responseDelayMs = path -> draws.nextInt(3) == 0 ? draws.nextInt(1, LONGEST_LAG_MS) : 0;
                doors.service.loseResponseFilter = txn -> isAboutAJob(txn) && draws.nextInt(8) == 0;
                doors.service.holdFilter = txn -> isAboutAJob(txn) && draws.nextInt(12) == 0;
            });
            for (int round = 0; round < ROUNDS; round++) {
                begin(random.nextInt(8));
                FrontDoors.await(Future.join(jobs.stream().map(this::step).toList()));
                if (random.nextBoolean()) {
                    doors.service.executeHeldTransactions();
                }
            }
            return JobRegisters.check(doors.calls());
        }

        private static boolean isAboutAJob(Fields txn) {
            return txn.children("writes").stream()
                    .map(w -> w.has("delete") ? w.text("delete") : w.text("write"))
                    .anyMatch(key -> key.startsWith("j/"));
        }

        /** One node is refused, or what it asks is held back and then let through, stands still or begins anew; or nothing. */
        private void begin(int kind) throws Exception {
            int node = random.nextInt(doors.count());
            int ms = random.nextInt(1, LONGEST_TROUBLE_MS);
            String door = FrontDoors.name(node);
            if (kind == 0 || kind == 1) {
                doors.trouble(() -> {
                    if (kind == 0) {
                        doors.service.rejectedCallers.add(door);
                    } else {
                        doors.service.delayFilter = (d, path) -> d.equals(door);
                    }
                    Vertx.currentContext().owner().setTimer(ms, t -> pass());
                });
            } else if (kind == 2) {
                doors.freeze(node, ms);
            } else if (kind == 3) {
                doors.restart(node);
            }
        }

        private void pass() {
            doors.service.rejectedCallers.clear();
            doors.service.delayFilter = (d, path) -> false;
            doors.service.executeDelayed();
        }

        private Future<?> step(JobId job) {
            int node = random.nextInt(doors.count());
            int kind = random.nextInt(12);
            boolean first = random.nextBoolean();
            boolean cancels = random.nextInt(12) == 0;
            // Under way while the job changes, and perhaps answered later than what is asked after the change.
            Future<?> meanwhile = look(job, node, false, false);
            Future<?> change = kind < 4
                    ? doors.lead(job, kind < 2, first)
                    : doors.ask(node, kind < 9 ? Question.SUBMIT : kind < 11 ? Question.POLL : Question.CANCEL, job);
            return change.transform(v -> look(job, node, first, false))
                    .transform(v -> look(job, node + 1, first, cancels))
                    .transform(v -> meanwhile);
        }

        /** All nodes are asked at once, and the job is submitted again. */
        private Future<?> look(JobId job, int node, boolean submits, boolean cancels) {
            List<Future<?>> asked = new ArrayList<>();
            for (int n = 0; n < doors.count(); n++) {
                asked.add(doors.ask(n, Question.POLL, job));
            }
            if (submits) {
                asked.add(doors.ask(node % doors.count(), Question.SUBMIT, job));
            }
            if (cancels) {
                asked.add(doors.ask((node + 1) % doors.count(), Question.CANCEL, job));
            }
            return Future.join(asked);
        }

        /** With all troubles over every node has the same to say of every job. */
        void settle() throws Exception {
            doors.trouble(() -> {
                doors.service.responseDelayMs = path -> 0;
                doors.service.loseResponseFilter = txn -> false;
                doors.service.holdFilter = txn -> false;
                pass();
            });
            doors.service.executeHeldTransactions();
            for (JobId job : jobs) {
                Set<JobStatus> told = new HashSet<>();
                for (int node = 0; node < doors.count(); node++) {
                    told.add(answered(node, job).told());
                }
                assertEquals(1, told.size(), job + " is told to be " + told);
            }
        }

        private Call answered(int node, JobId job) throws Exception {
            Call call = null;
            for (int tries = 0; tries < MOST_TRIES; tries++) {
                call = FrontDoors.await(doors.ask(node, Question.POLL, job));
                if (call.told() != null || call.http() == 404) {
                    return call;
                }
            }
            throw new AssertionError("not answered: " + call);
        }

        @Override
        public void close() throws Exception {
            doors.close();
        }
    }

    @ParameterizedTest
    @CsvSource({"3, 1", "3, 2", "5, 3", "5, 4"})
    void noNodeAnswersAnythingOlder(int nodes, long seed) throws Exception {
        try (Run run = new Run(nodes, seed, desk -> (question, spec) -> FrontDoors.ask(desk, question, spec))) {
            assertEquals(List.of(), run.play());
            run.settle();
            List<Call> calls = run.doors.calls();
            assertEquals(List.of(), JobRegisters.check(calls));
            for (JobStatus status : JobStatus.values()) {
                assertTrue(calls.stream().anyMatch(c -> c.told() == status), "nobody was told " + status);
            }
            for (int http : new int[] {0, 201, 404}) {
                assertTrue(calls.stream().anyMatch(c -> c.http() == http), "no answer was " + http);
            }
        }
    }

    /** Faults that a node could have, each of which is found. */
    enum Fault {
        JOINED_READ(Rule.WENT_BACK) {
            @Override
            Door plant(JobService desk) {
                Map<JobId, Future<ApiResponse>> underWay = new HashMap<>();
                return (question, spec) -> question == Question.POLL
                        ? underWay.computeIfAbsent(
                                spec.id(),
                                id -> FrontDoors.ask(desk, question, spec)
                                        .onComplete(r -> Vertx.currentContext().runOnContext(v -> underWay.remove(id))))
                        : FrontDoors.ask(desk, question, spec);
            }
        },
        CANCELLED_BEFORE_IT_IS_DURABLE(Rule.WENT_BACK) {
            @Override
            Door plant(JobService desk) {
                return (question, spec) -> {
                    Future<ApiResponse> answer = FrontDoors.ask(desk, question, spec);
                    return question == Question.CANCEL
                            ? Future.succeededFuture(ApiResponse.ok(Map.of("status", "cancelled")))
                            : answer;
                };
            }
        },
        STALE_404(Rule.FORGOTTEN) {
            @Override
            Door plant(JobService desk) {
                Set<JobId> unknown = new HashSet<>();
                return (question, spec) -> question == Question.POLL && unknown.contains(spec.id())
                        ? Future.succeededFuture(ApiResponse.error(404, "no such job"))
                        : FrontDoors.ask(desk, question, spec).onSuccess(answer -> {
                            if (answer.status() == 404) {
                                unknown.add(spec.id());
                            }
                        });
            }
        };

        private final Rule breaks;

        Fault(Rule breaks) {
            this.breaks = breaks;
        }

        abstract Door plant(JobService desk);
    }

    /** Whether calls meet as it takes is the machine's as well: other seeds are played until they do. */
    @ParameterizedTest
    @CsvSource({"JOINED_READ, 100", "CANCELLED_BEFORE_IT_IS_DURABLE, 200", "STALE_404, 300"})
    void aPlantedFaultIsFound(Fault fault, long firstSeed) throws Exception {
        Set<Rule> broken = new HashSet<>();
        for (long seed = firstSeed; seed < firstSeed + MOST_SEEDS && !broken.contains(fault.breaks); seed++) {
            try (Run run = new Run(3, seed, fault::plant)) {
                run.play().forEach(f -> broken.add(f.rule()));
            }
        }
        assertTrue(broken.contains(fault.breaks), fault + ": " + broken);
    }
}
