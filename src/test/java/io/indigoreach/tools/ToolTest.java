package io.indigoreach.tools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The command line: exit codes, one line for each fault, and nothing started. */
class ToolTest {
    @TempDir
    private Path directory;

    record Told(int code, String out, String err) {}

    static Told tell(String... args) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        ByteArrayOutputStream wrong = new ByteArrayOutputStream();
        System.setOut(new PrintStream(said, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(wrong, true, StandardCharsets.UTF_8));
        try {
            int code = Tool.run(args);
            return new Told(code, said.toString(StandardCharsets.UTF_8), wrong.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "'', 2, a verb is missing",
        "fly, 2, Unmatched argument",
        "status, 2, Missing required parameter",
        "status 412, 2, not a job's id: 412",
        "serve, 2, Missing required option: '--config=FILE'",
        "check, 2, nothing to check",
        "pools, 2, a verb is missing",
        "pools set /nowhere/x, 1, /nowhere/x: cannot be read",
        "check --settings /nowhere/x, 1, /nowhere/x: cannot be read",
        "emulate /nowhere/x, 1, /nowhere/x: cannot be read",
        "submit --cluster /nowhere/x examples/jobs/gateway.textproto, 1," + " /nowhere/x: cannot be read",
        "emulate --port x examples/emulate.textproto, 2, Invalid value for option '--port'"
    })
    void saysWhatIsWrong(String line, int code, String what) {
        Told told = tell(line.isEmpty() ? new String[0] : line.split(" "));
        assertEquals(code, told.code, told.err);
        assertTrue(told.err.contains(what), told.err);
    }

    /** A file with an unknown field or a bad number: one line with file, line and field, exit 1, nothing started. */
    @ParameterizedTest
    @CsvSource({"emulate", "experiment", "check --scenario"})
    void refusesAWrongFile(String verb) throws Exception {
        Path file = Files.writeString(directory.resolve("s.textproto"), "name: \"x\"\nlength_s: -1\n");
        Told told = tell((verb + " " + file).split(" "));
        assertEquals(1, told.code);
        assertEquals("indigoreach: " + file + ":2: length_s: must be 1 to 86400", told.err.strip());
        assertEquals("", told.out);
    }

    @Test
    void helpsAndCompletes() {
        for (String verb : new String[] {
            "demo",
            "serve",
            "check",
            "emulate",
            "experiment",
            "submit",
            "status",
            "cancel",
            "jobs",
            "machines",
            "watch",
            "measure",
            "records",
            "pools"
        }) {
            Told told = tell(verb, "--help");
            assertEquals(0, told.code);
            assertTrue(told.out.startsWith("Usage: indigoreach " + verb), told.out);
        }
        Told help = tell("--help");
        assertTrue(help.out.contains("Exit codes:") && help.out.contains("3   a rule was broken"), help.out);
        assertTrue(tell("generate-completion").out.contains("complete -F _complete_indigoreach"));
        assertTrue(tell("check", "--list", "job").out.contains("job_class"));
        assertTrue(tell("check", "--list", "pool").out.contains("zone_part"));
        assertEquals("ok\n", tell("check", "--job", "examples/pools/holder.textproto").out);
        assertEquals("ok\n", tell("check", "--job", "examples/jobs/gateway.textproto").out);
    }
}
