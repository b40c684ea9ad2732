package io.indigoreach;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the operators' page explains exactly the events that a node logs. An event is the text of a log line before its fields. */
class OnCallPageTest {
    private static final Path MAIN = Path.of("src", "main", "java", "io", "indigoreach");
    /** Packages of the tools, which are not part of a node and print their output for the person who runs them. */
    private static final Set<String> TOOLS =
            Set.of("emulator", "experiment", "load", "checker", "scenario", "store", "tools");

    private static final Pattern LOG_CALL = Pattern.compile(
            "(?:(?:\\bLOG|getLogger\\([^)]*\\))\\s*\\.\\s*(?:error|warn|info|debug)|\\blog|\\bsay\\.accept)\\(\\s*\"((?:[^\"\\\\]|\\\\.)*)\"");
    private static final Pattern LITERAL = Pattern.compile("\"((?:[^\"\\\\\\n]|\\\\.)*)\"");
    private static final Pattern FIELD = Pattern.compile("(?:^| )\\w+=.*", Pattern.DOTALL);
    /** The first cell of a row in a table of events. */
    private static final Pattern ROW = Pattern.compile("(?m)^\\|([^|]*)\\|");

    private static final Pattern QUOTED = Pattern.compile("`([^`]+)`");

    private static String event(String line) {
        return FIELD.matcher(line).replaceFirst("").strip();
    }

    private static String sources() throws IOException {
        try (Stream<Path> files = Files.walk(MAIN)) {
            return files.filter(f -> f.toString().endsWith(".java"))
                    .filter(f -> !TOOLS.contains(MAIN.relativize(f).getName(0).toString()))
                    .sorted()
                    .map(OnCallPageTest::read)
                    .collect(Collectors.joining("\n"));
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Set<String> loggedEvents(String sources) {
        Set<String> events = new TreeSet<>();
        Matcher call = LOG_CALL.matcher(sources);
        while (call.find()) {
            // The line is composed elsewhere and passed as one argument; everyExplainedEventIsLogged searches for its
            // text.
            if (!call.group(1).equals("{}")) {
                events.add(event(call.group(1)));
            }
        }
        return events;
    }

    /** Returns the events that the page's tables explain, without their fields. */
    private static Set<String> explainedEvents(String page) {
        Set<String> events = new TreeSet<>();
        boolean inEvents = false;
        Matcher row = ROW.matcher(page);
        while (row.find()) {
            String cell = row.group(1).strip();
            inEvents =
                    cell.equals("event") || (inEvents && !Set.of("state", "end").contains(cell));
            Matcher quoted = QUOTED.matcher(cell);
            while (inEvents && quoted.find()) {
                if (!event(quoted.group(1)).isEmpty() && !quoted.group(1).startsWith("silent")) {
                    events.add(event(quoted.group(1)));
                }
            }
        }
        return events;
    }

    private static String page() throws IOException {
        return Files.readString(Path.of("docs", "operators", "on-call.md"));
    }

    @Test
    void everyLoggedEventIsExplained() throws IOException {
        Set<String> logged = loggedEvents(sources());
        assertTrue(logged.size() > 40, () -> "found only " + logged);
        logged.removeAll(explainedEvents(page()));
        assertEquals(Set.of(), logged);
    }

    @Test
    void everyExplainedEventIsLogged() throws IOException {
        Set<String> literals = new TreeSet<>();
        Matcher literal = LITERAL.matcher(sources());
        while (literal.find()) {
            literals.add(event(literal.group(1)));
        }
        Set<String> explained = explainedEvents(page());
        assertTrue(explained.size() > 40, () -> "found only " + explained);
        explained.removeAll(literals);
        assertEquals(Set.of(), explained);
    }

    @Test
    void eventsAreParsedWithoutFields() {
        assertEquals(
                Set.of("machine lost its lease", "peer listener failed", "warm pool shrinking", "in words alone"),
                loggedEvents("""
                        LOG.error(
                                "peer listener failed address={} cause={}", a, b);
                        listener.log("machine lost its lease machine=" + m.id);
                        say.accept("warm pool shrinking pool=" + p);
                        LOG.info("in words alone");
                        LOG.info("{}", line);
                        """));
        assertEquals(Set.of("a b", "c"), explainedEvents("""
                | state | x |
                | `never this` | x |
                | event | x |
                | --- | --- |
                | `a b reason=x`, `c` (warn) | `not this` |
                | … `reason=y`, `silent-since` | x |
                """));
    }
}
