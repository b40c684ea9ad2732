package io.indigoreach.checker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.checker.Event.Question;
import io.indigoreach.checker.JobRegisters.Call;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Histories of one job, as {@code begin-end question answer}, with the rules that they break; each beside the nearest that breaks none. */
class JobRegistersTest {
    @ParameterizedTest
    @CsvSource({
        "'0-1 submit 201, 2-3 poll pending, 4-5 poll running, 6-7 poll pending, 8-9 poll done', ",
        "'0-5 submit 201, 1-2 poll pending, 3-4 poll 404', FORGOTTEN",
        "'0-5 submit 201, 1-3 poll pending, 3-4 poll 404', ",
        "'0-5 submit 201, 1-2 poll pending, 3-4 poll 503, 3-4 poll 0', ",
        "'0-1 submit 201, 2-3 submit 422', FORGOTTEN",
        "'0-1 submit 422, 2-3 submit 201', ",
        "'0-1 submit 201, 2-3 submit 201', FORGOTTEN",
        "'0-2 submit 201, 1-3 submit 201', FORGOTTEN",
        "'0-1 submit 0, 2-3 submit pending, 4-5 submit 201', FORGOTTEN",
        "'0-1 submit 201, 2-3 poll done, 4-5 poll pending', WENT_BACK",
        "'0-1 submit 201, 2-4 poll done, 3-5 poll pending', ",
        "'0-1 submit 201, 2-3 poll done, 4-5 submit running', WENT_BACK",
        "'0-1 submit 201, 2-3 cancel cancelled, 2-3 poll done', WENT_BACK",
        "'0-1 submit 201, 2-3 cancel done, 4-5 poll cancelled', WENT_BACK",
        "'0-1 submit 201, 2-9 cancel 0, 4-5 poll cancelled', ",
        "'0-1 submit 201, 4-5 poll cancelled, 6-7 cancel cancelled', INVENTED",
        "'0-1 poll pending, 2-3 submit pending', INVENTED",
        "'0-1 poll 404, 0-9 submit 0, 3-4 poll pending', "
    })
    void whatBreaksWhat(String history, String rules) {
        List<Call> calls = new ArrayList<>();
        for (String line : history.split(", ")) {
            String[] words = line.split("[- ]");
            calls.add(call(Integer.parseInt(words[0]), Integer.parseInt(words[1]), words[2], words[3]));
        }
        String found =
                JobRegisters.check(calls).stream().map(f -> f.rule().name()).reduce("", (a, b) -> a + " " + b);
        assertEquals(rules == null ? "" : rules, found.strip());
        Collections.reverse(calls);
        assertEquals(
                rules == null ? 0 : rules.split(" ").length,
                JobRegisters.check(calls).size(),
                "in any order");
    }

    private static Call call(int begin, int end, String question, String answer) {
        boolean status = !Character.isDigit(answer.charAt(0));
        boolean accepted = answer.equals("201");
        return new Call(
                begin,
                end,
                Question.valueOf(question.toUpperCase(Locale.ROOT)),
                new JobId("run-1"),
                "node-0",
                status ? 200 : Integer.parseInt(answer),
                status ? JobStatus.valueOf(answer.toUpperCase(Locale.ROOT)) : accepted ? JobStatus.PENDING : null);
    }
}
