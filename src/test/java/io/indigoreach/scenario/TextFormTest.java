package io.indigoreach.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.config.ConfigException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Files: what they give, and one line with file, line and field for each fault. */
class TextFormTest {
    private static final String GOOD = """
            name: "x"
            deployment {
              zones: "z"
              machine_type { name: "m" cores: 2 ram_gb: 4 price: 1 }
              capacity { type: "m" zone: "z" count: 3 }
              team { name: "t" }
            }
            jobs { name: "c" team: "t" run_s: 5 }
            fault { kind: outage at_s: 3 for_s: 2 to: "state" }
            """;

    @Test
    void readsRecords() throws ConfigException {
        Scenario s = TextForm.parse("f", GOOD, Scenario.class);
        assertEquals(1, s.seed());
        assertEquals(12, s.deployment().workers().leaseS());
        assertEquals(0.5, s.deployment().machineType().get(0).fetchGbPerS());
        assertEquals(Fault.Kind.OUTAGE, s.fault().get(0).kind());
        assertEquals(5, s.fault().get(0).endsS());
        assertEquals(List.of("z"), s.deployment().types().get(0).zones());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            name: "x"                | nome: "x"                    | 1: | nome
            cores: 2                 | cores: -1                    | 4: | cores: must be 0.1 to
            cores: 2                 | cores: much                  | 4: | Couldn't parse number
            zones: "z"               | zone: "z"                    | 3: | zone
            count: 3                 | count: 3.5                   | 5: | integer
            zone: "z" count          | zone: "q" count              | 2: | no such type or zone: m, q
            kind: outage             | kind: outrage                | 9: | outrage
            to: "state"              | to: "moon"                   | 9: | an outage is of state or cloud
            run_s: 5                 | per_minute: 3                | 8: | run_s of c must be
            name: "c" team: "t"      | name: "c" team: "u"          | 1: | no such team: u
            team { name: "t" }       | team { name: "t"             | 10: | Expected
            """)
    void namesFileLineAndField(String was, String is, String line, String what) {
        String text = GOOD.replace(was, is);
        ConfigException e =
                assertThrows(ConfigException.class, () -> TextForm.parse("f.textproto", text, Scenario.class));
        assertTrue(
                e.getMessage().startsWith("f.textproto:" + line)
                        && e.getMessage().contains(what),
                e.getMessage());
        assertEquals(1, e.getMessage().lines().count(), e.getMessage());
    }

    /** The examples are what people start from. */
    @Test
    void readsTheExamples() throws Exception {
        int scenarios = 0;
        try (var files = Files.list(Path.of("examples"))) {
            for (Path p : files.filter(f -> f.toString().endsWith(".textproto")).toList()) {
                TextForm.read(p, Scenario.class);
                scenarios++;
            }
        }
        try (var files = Files.list(Path.of("examples/jobs"))) {
            for (Path p : files.toList()) {
                TextForm.read(p, JobFile.class);
            }
        }
        assertTrue(scenarios >= 3);
    }

    @Test
    void listsFields() {
        List<String> fields = TextForm.fields(Scenario.class);
        assertTrue(fields.stream().anyMatch(f -> f.matches(" *lease_s +lease, s \\(default 12\\)")), fields.toString());
        assertTrue(fields.stream().anyMatch(f -> f.contains("one of slow, refuse")), fields.toString());
    }
}
