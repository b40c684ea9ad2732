package io.indigoreach.knownred;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The tests that fail for a known fault, as {@code KNOWN-RED.txt} lists them.
 *
 * @param entries in the order of the file
 */
record KnownRedList(List<Entry> entries) {
    /** More than these are not passed over: what fails is to be mended first. */
    static final int MAX_ENTRIES = 3;

    private static final Path FILE = Path.of("KNOWN-RED.txt");
    private static final String COMMENT = "#";
    private static final Pattern LINE = Pattern.compile(
            "(?<class>[\\w.]+)#(?<method>\\w+)(\\[(?<row>[1-9]\\d*)])? \\| (?<cause>.+) \\| (?<issue>.+)");
    /** The row of an entry that means a whole method. */
    private static final int EVERY_ROW = 0;

    /**
     * One test.
     *
     * @param row of a table of cases, the first is 1; 0 for every row, or for a test without rows
     * @param cause why it fails
     * @param issue where that is to be mended
     */
    record Entry(String className, String method, int row, String cause, String issue) {
        boolean matches(String testClass, String testMethod, int testRow) {
            return className.equals(testClass) && method.equals(testMethod) && (row == EVERY_ROW || row == testRow);
        }
    }

    /** The list of this repository. */
    static KnownRedList load() {
        try {
            return parse(Files.readAllLines(FILE));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Throws {@link IllegalArgumentException} if a line is not an entry, or there are too many. */
    static KnownRedList parse(List<String> lines) {
        List<Entry> entries = lines.stream()
                .filter(line -> !line.isBlank() && !line.startsWith(COMMENT))
                .map(KnownRedList::parseLine)
                .toList();
        if (entries.size() > MAX_ENTRIES) {
            throw new IllegalArgumentException(FILE + ": " + entries.size() + " entries, at most " + MAX_ENTRIES);
        }
        return new KnownRedList(entries);
    }

    private static Entry parseLine(String line) {
        Matcher matcher = LINE.matcher(line);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(FILE + ": not 'class#method | cause | issue': " + line);
        }
        String row = matcher.group("row");
        return new Entry(
                matcher.group("class"),
                matcher.group("method"),
                row == null ? EVERY_ROW : Integer.parseInt(row),
                matcher.group("cause"),
                matcher.group("issue"));
    }

    Optional<Entry> find(String testClass, String testMethod, int testRow) {
        return entries.stream()
                .filter(entry -> entry.matches(testClass, testMethod, testRow))
                .findFirst();
    }
}
