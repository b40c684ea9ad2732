package io.indigoreach;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.fail;

import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.junit.jupiter.api.function.Executable;

/**
 * Compares messages, records and texts that leave the process with the output of an earlier version. A golden file under
 * {@code src/test/resources/golden} has one line per case: its name, a tab, and its bytes in hex or its text. A refactoring must
 * write the same bytes and be able to read them.
 *
 * <p>If the bytes change intentionally, {@code mvn test -Dtest='Golden*Test' -Dgolden.write=true} rewrites the files, and the author
 * reviews the diff before committing it. Such a run checks nothing, so all of its tests fail. It is not permitted if the
 * environment variable {@code CI} is set.
 */
public final class GoldenFile {
    public static final Path DIRECTORY = Path.of("src", "test", "resources", "golden");
    private static final boolean UPDATES_FILES = Boolean.getBoolean("golden.write");

    private final String fileName;
    private final Map<String, String> expected;
    private final Map<String, String> expectEncoded = new LinkedHashMap<>();
    private final List<Executable> checks = new ArrayList<>();

    public GoldenFile(String fileName) {
        this.fileName = fileName;
        this.expected = UPDATES_FILES ? Map.of() : load(fileName);
    }

    /** Returns the values of a golden file by case name. */
    public static Map<String, String> load(String fileName) {
        Map<String, String> lines = new LinkedHashMap<>();
        try {
            for (String line : Files.readAllLines(DIRECTORY.resolve(fileName))) {
                int tab = line.indexOf('\t');
                assertEquals(
                        null, lines.put(unescape(line.substring(0, tab)), unescape(line.substring(tab + 1))), line);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return lines;
    }

    public static String encodeHex(Map<String, Object> message) {
        return HexFormat.of().formatHex(MessagePackFormat.write(message).getBytes());
    }

    private static Fields decode(String hex) {
        return MessagePackFormat.readMap(Buffer.buffer(HexFormat.of().parseHex(hex)));
    }

    /** Expects the golden text, such as a response, a path or an error line. */
    public GoldenFile expectText(String name, String text) {
        assertEquals(null, expectEncoded.put(name, text), "duplicate case name " + name);
        checks.add(() -> assertEquals(expected.get(name), text, name));
        return this;
    }

    /** Expects the golden bytes of a message that this program only writes. */
    public GoldenFile expectEncoded(String name, Map<String, Object> message) {
        assertEquals(null, expectEncoded.put(name, encodeHex(message)), "duplicate case name " + name);
        checks.add(() -> assertEquals(
                expected.get(name), encodeHex(message), () -> name + ": " + describeDifference(name, message)));
        return this;
    }

    /** Expects the golden bytes of a message whose field order differs between runs; the fields are sorted before the comparison. */
    public GoldenFile expectEncodedUnordered(String name, Map<String, Object> message) {
        return expectEncoded(name, sorted(message));
    }

    private static Map<String, Object> sorted(Map<?, ?> map) {
        Map<String, Object> sorted = new TreeMap<>();
        map.forEach((key, value) ->
                sorted.put((String) key, value instanceof Map<?, ?> nested ? sorted(nested) : value));
        return sorted;
    }

    private String describeDifference(String name, Map<String, Object> message) {
        String line = expected.get(name);
        return "golden " + (line == null ? "none" : decode(line).map()) + ", written " + message;
    }

    /** Expects that the value is encoded as the golden bytes, and that decoding and encoding these gives the same bytes. */
    public <T> GoldenFile expectReencoded(
            String name, T value, Function<T, Map<String, Object>> writer, Function<Fields, T> reader) {
        expectEncoded(name, writer.apply(value));
        checks.add(() -> {
            assertNotNull(expected.get(name), name);
            Map<String, Object> reencoded = writer.apply(reader.apply(decode(expected.get(name))));
            assertEquals(
                    expected.get(name),
                    encodeHex(reencoded),
                    () -> name + ", after decoding and encoding: " + describeDifference(name, reencoded));
        });
        return this;
    }

    /** Like {@link #expectReencoded}, and expects that the golden bytes are decoded as the value. */
    public <T> GoldenFile expectRoundTrip(
            String name, T value, Function<T, Map<String, Object>> writer, Function<Fields, T> reader) {
        expectReencoded(name, value, writer, reader);
        checks.add(() -> assertEquals(value, reader.apply(decode(expected.get(name))), name + ", decoded value"));
        return this;
    }

    /** Expects that a message in a form which only other programs write is decoded, and that the result is encoded as the golden bytes. */
    public GoldenFile expectDecoded(
            String name, Map<String, Object> sent, Function<Fields, Map<String, Object>> decodeAndEncode) {
        String decodedName = name + ", as read";
        expectEncoded(name, sent);
        expectEncoded.put(decodedName, encodeHex(decodeAndEncode.apply(decode(encodeHex(sent)))));
        checks.add(() -> assertEquals(
                expected.get(decodedName), encodeHex(decodeAndEncode.apply(decode(expected.get(name)))), decodedName));
        return this;
    }

    /** Expects that a message cannot be decoded, with the golden error message. */
    public GoldenFile expectRejected(String name, Map<String, Object> sent, Function<Fields, ?> reader) {
        expectEncoded(name, sent);
        Fields fields = decode(UPDATES_FILES ? encodeHex(sent) : expected.getOrDefault(name, encodeHex(sent)));
        return expectText(name + ", refused", failureMessage(() -> reader.apply(fields)));
    }

    /** Returns the message of the exception that the code throws, or "no fault" if it throws none. */
    public static String failureMessage(Executable code) {
        try {
            code.execute();
            return "no fault";
        } catch (Throwable e) {
            return e.getMessage();
        }
    }

    /** Checks all added cases, and that the file contains no other cases. */
    public void verify() {
        if (UPDATES_FILES) {
            rewriteFile();
        }
        checks.add(() -> assertEquals(
                List.copyOf(expected.keySet()), List.copyOf(expectEncoded.keySet()), "names of the cases"));
        assertAll(fileName, checks);
    }

    private void rewriteFile() {
        assertEquals(null, System.getenv("CI"), "golden files must not be written in CI");
        StringBuilder lines = new StringBuilder();
        expectEncoded.forEach((name, value) ->
                lines.append(escape(name)).append('\t').append(escape(value)).append('\n'));
        try {
            Files.createDirectories(DIRECTORY);
            Files.writeString(DIRECTORY.resolve(fileName), lines);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        fail(DIRECTORY.resolve(fileName) + " was rewritten: review the diff, and run again without golden.write");
    }

    private static String escape(String text) {
        return text.replace("\\", "\\\\")
                .replace("\n", "\\n")
                .replace("\t", "\\t")
                .replace("\r", "\\r");
    }

    private static String unescape(String line) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < line.length(); i++) {
            char character = line.charAt(i);
            if (character != '\\') {
                text.append(character);
                continue;
            }
            char next = line.charAt(++i);
            text.append(next == 'n' ? '\n' : next == 't' ? '\t' : next == 'r' ? '\r' : next);
        }
        return text.toString();
    }
}
