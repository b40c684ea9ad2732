package io.indigoreach.tools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.calendar.CalendarCodec;
import io.indigoreach.calendar.JavaZones;
import io.indigoreach.core.calendar.Calendar;
import io.indigoreach.core.calendar.CalendarCheck;
import io.indigoreach.core.calendar.Day;
import io.indigoreach.core.calendar.Plan;
import io.indigoreach.core.calendar.Register;
import io.indigoreach.net.WireException;
import io.indigoreach.scenario.TextForm;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The operators' file, the library's holidays, and the calendar on its way. */
class CalendarFileTest {
    private static Calendar example() throws Exception {
        return TextForm.read(Path.of("examples/calendar/depots.textproto"), CalendarFile.class)
                .calendar();
    }

    @Test
    void theExampleCanBeSetAndComesBackAsItWas() throws Exception {
        Calendar calendar = example();
        assertEquals(List.of(), CalendarCheck.of(calendar, new JavaZones(), Day.of(2026, 12, 2), CalendarCheck.AHEAD));
        Register register = Register.EMPTY.forPlans(calendar.plans(), 77);
        CalendarCodec.Stored stored = new CalendarCodec.Stored(calendar, register, "# a remark");
        assertEquals(stored, CalendarCodec.unpack(CalendarCodec.pack(stored)));
        assertEquals(
                CalendarCodec.pack(stored),
                CalendarCodec.pack(CalendarCodec.unpack(CalendarCodec.pack(stored))),
                "one calendar has one digest");
    }

    /** By district where it matters, and what the library lacks by hand. */
    @ParameterizedTest
    @CsvSource({
        "munich, 2027-08-15, true",
        "munich, 2027-08-08, false",
        "munich, 2027-03-29, true",
        "kerala, 2027-03-29, false",
        "kerala, 2027-01-26, true",
        "kerala, 2027-09-12, true",
        "kerala, 2027-08-27, false"
    })
    void holidaysAreThoseOfTheRegion(String region, String day, boolean holiday) throws Exception {
        assertEquals(holiday, example().region(region).holiday(Day.parse(day)) != null);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "region { name: \"r\" holidays_of: \"xx\" first_year: 2027 last_year: 2027 } | region r.holidays_of",
                "region { name: \"r\" holidays_of: \"in-zz\" first_year: 2027 last_year: 2027 } | region r.holidays_of",
                "region { name: \"r\" first_year: 2027 last_year: 2026 } | region r.last_year",
                "season { name: \"s\" dates { from: \"2027-02-29\" to: \"2027-03-01\" } } | season s.from",
                "depot { name: \"d\" zone: \"Asia/Kolkata\" departure { at: \"24:30\" } } | depot d.departure.at",
                "depot { name: \"d\" zone: \"Asia/Kolkata\" exception { day: \"tomorrow\" } } | depot d.exception.day",
                "plan { name: \"p\" depot: \"d\" job { job_class: \"c\" team: \"t\" image: \"i\" due_s: 5 } } | plan p.job",
            })
    void aFaultNamesItsField(String text, String field) throws Exception {
        CalendarFile form = TextForm.parse("test", text, CalendarFile.class);
        Failure failure = assertThrows(Failure.class, form::calendar);
        assertTrue(failure.getMessage().startsWith(field + ": "), failure.getMessage());
    }

    @Test
    void fiveHundredPlansFitIntoARequest() throws Exception {
        Calendar c = example();
        List<Plan> plans = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            Plan p = c.plans().get(i % 2);
            plans.add(new Plan(
                    "tankers-of-depot-" + i,
                    p.depot(),
                    p.at(),
                    p.days(),
                    p.margin(),
                    p.onHoliday(),
                    p.boosts(),
                    p.template()));
        }
        Calendar large = new Calendar(c.cores(), c.regions(), c.seasons(), c.depots(), plans);
        assertEquals(List.of(), CalendarCheck.of(large, new JavaZones(), Day.of(2026, 12, 2), CalendarCheck.AHEAD));
        int length = CalendarCodec.pack(
                        new CalendarCodec.Stored(large, Register.EMPTY.forPlans(plans, 1_796_000_000_000L), ""))
                .length();
        assertTrue(length < CalendarCodec.LONGEST_TEXT / 2, length + " characters");
    }

    @ParameterizedTest
    @CsvSource({"''", "no base64", "eJwDAAAAAAE="})
    void whatIsNoCalendarIsMalformed(String text) {
        assertThrows(WireException.class, () -> CalendarCodec.unpack(text));
    }

    @Test
    void nothingIsNoHoliday() throws Exception {
        assertNull(example().region("munich").holiday(Day.of(2040, 12, 25)), "not entered");
    }
}
