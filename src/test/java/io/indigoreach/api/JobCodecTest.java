package io.indigoreach.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.scheduling.Admission;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.WireException;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the reading of submissions: valid and malformed fields, and jobs that can never run. */
class JobCodecTest {
    static Map<String, Object> job() {
        return MessagePackFormat.map(
                "id",
                "run-000412",
                "jobclass",
                "c",
                "owner",
                "t",
                "shape",
                "array",
                "urgency",
                "high",
                "pieces",
                16,
                "cores",
                4.0,
                "gpus",
                0.0,
                "ram_gb",
                6.0,
                "bundle",
                "i",
                "pull_gb",
                6.2,
                "boxkinds",
                List.of("quad"),
                "hall",
                null,
                "one_zone",
                true,
                "spread",
                false,
                "loaners",
                true,
                "expected_s",
                240.0,
                "snapshot_every_s",
                30.0,
                "snapshot_s",
                4.0,
                "due_s",
                900.0,
                "unheard_of",
                1);
    }

    static List<Object[]> malformed() {
        List<Object[]> cases = new ArrayList<>();
        for (String field : job().keySet()) {
            if (!List.of("boxkinds", "hall", "due_s", "unheard_of").contains(field)) {
                cases.add(new Object[] {field, null});
            }
        }
        for (Object invalid : new Object[] {0, -1, 100_001, 1.5, "3", true}) {
            cases.add(new Object[] {"pieces", invalid});
        }
        for (String amount : List.of("cores", "gpus", "ram_gb", "pull_gb", "expected_s", "snapshot_every_s", "due_s")) {
            for (Object invalid : new Object[] {-1.0, Double.NaN, Double.POSITIVE_INFINITY, "1", 1e300}) {
                cases.add(new Object[] {amount, invalid});
            }
        }
        for (Object invalid : new Object[] {"", "run-", "run-1x", "job-1", "run-1/2", 7, "run-" + "1".repeat(30)}) {
            cases.add(new Object[] {"id", invalid});
        }
        cases.add(new Object[] {"shape", "gang"});
        cases.add(new Object[] {"urgency", "normal"});
        cases.add(new Object[] {"one_zone", 1});
        cases.add(new Object[] {"boxkinds", "quad"});
        cases.add(new Object[] {"boxkinds", List.of(1)});
        cases.add(new Object[] {"bundle", "x".repeat(5000)});
        List<String> tooMany = IntStream.rangeClosed(1, JobCodec.MAX_DEPENDENCIES + 1)
                .mapToObj(n -> "run-" + n)
                .toList();
        for (Object invalid : new Object[] {
            "run-1",
            7,
            Map.of(),
            List.of(7),
            List.of("job-1"),
            List.of("run-000412"),
            List.of("run-1", "run-1"),
            tooMany
        }) {
            cases.add(new Object[] {"waits_on", invalid});
        }
        return cases;
    }

    @ParameterizedTest
    @MethodSource("malformed")
    void malformedJobIsReportedWithItsField(String field, Object value) {
        Map<String, Object> job = job();
        job.put(field, value);
        WireException failure = assertThrows(
                WireException.class, () -> JobCodec.read(MessagePackFormat.readMap(MessagePackFormat.write(job))));
        assertEquals(field, failure.getMessage().substring(failure.getMessage().lastIndexOf(' ') + 1));
    }

    @Test
    void nullEqualsAbsent() {
        Map<String, Object> jobWithNulls = job();
        jobWithNulls.put("boxkinds", null);
        jobWithNulls.put("due_s", null);
        jobWithNulls.put("waits_on", List.of());
        Map<String, Object> jobWithoutFields = job();
        jobWithoutFields.keySet().removeAll(List.of("boxkinds", "due_s", "hall"));
        assertEquals(
                JobCodec.read(MessagePackFormat.readMap(MessagePackFormat.write(jobWithNulls))),
                JobCodec.read(MessagePackFormat.readMap(MessagePackFormat.write(jobWithoutFields))));
    }

    @ParameterizedTest
    @CsvSource(
            nullValues = "-",
            value = {
                "owner, other, unknown team other",
                "cores, 4.5, a task fits no allowed machine type",
                "ram_gb, 17, a task fits no allowed machine type",
                "hall, nowhere, a task fits no allowed machine type",
                "shape, service, more than the limit of team t",
                "pieces, 20, -"
            })
    void infeasibleJobIsRejected(String field, String value, String reason) {
        Map<String, Object> job = job();
        job.put(
                field,
                value.matches("[0-9.]+")
                        ? (Object) (field.equals("pieces") ? (Object) 20 : (Object) Double.valueOf(value))
                        : value);
        JobSpec spec = JobCodec.read(MessagePackFormat.readMap(MessagePackFormat.write(job)));
        MachineType type =
                new MachineType("quad", new Resources(4, 0, 16), 40, 1, 1, 1, Span.seconds(20), List.of("a"));
        String refusal = Admission.refusal(spec, List.of(new Team("t", 0, 8, 0, 0)), List.of(type));
        if (reason == null) {
            assertNull(refusal);
        } else {
            assertEquals(reason, refusal);
        }
    }

    /**
     * Empty or truncated bodies, trailing bytes, bodies that are not a map, non-string keys, oversized length prefixes, binary
     * values.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "81",
                "80c0",
                "93010203",
                "8101c0",
                "ddffffffff",
                "81a161dd7fffffff",
                "81a161c403010203",
                "c1",
                "dfffffffff",
                "81a161dbffffffff"
            })
    void bodyThatIsNoMessagePackMapIsMalformed(String hex) {
        assertThrows(
                WireException.class,
                () -> MessagePackFormat.readMap(
                        Buffer.buffer(java.util.HexFormat.of().parseHex(hex))));
    }
}
