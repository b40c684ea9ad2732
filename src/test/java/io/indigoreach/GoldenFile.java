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
 * Messages, records and lines of text that leave the process, as a version of the program wrote them: a file under
 * {@code src/test/resources/golden}, a line a case, with its name, a tab and its bytes in hex or its text. Code that is only
 * arranged anew writes the same bytes, and reads them.
 *
 * <p>Where the bytes are meant to change, {@code mvn test -Dtest='Golden*Test' -Dgolden.write=true} writes the files anew, for their
 * difference to be read before it is committed. Such a run checks nothing, so every test of it fails; and it is refused where
 * the environment has {@code CI}.
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

    /** The lines of a file, by their names. */
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

    /** A text that has to be the same, such as an answer, a path or the line that tells a fault. */
    public GoldenFile expectText(String name, String text) {
        assertEquals(null, expectEncoded.put(name, text), "two cases of the name " + name);
        checks.add(() -> assertEquals(expected.get(name), text, name));
        return this;
    }

    /** What is only written here. */
    public GoldenFile expectEncoded(String name, Map<String, Object> message) {
        assertEquals(null, expectEncoded.put(name, encodeHex(message)), "two cases of the name " + name);
        checks.add(() -> assertEquals(
                expected.get(name), encodeHex(message), () -> name + ": " + describeDifference(name, message)));
        return this;
    }

    /** What is written from a map whose order is another in each run: its fields are compared in the order of their names. */
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

    /** Written as it is golden; the golden one is read, and written again as it was. */
    public <T> GoldenFile expectReencoded(
            String name, T value, Function<T, Map<String, Object>> writer, Function<Fields, T> reader) {
        expectEncoded(name, writer.apply(value));
        checks.add(() -> {
            assertNotNull(expected.get(name), name);
            Map<String, Object> reencoded = writer.apply(reader.apply(decode(expected.get(name))));
            assertEquals(
                    expected.get(name),
                    encodeHex(reencoded),
                    () -> name + ", read and written again: " + describeDifference(name, reencoded));
        });
        return this;
    }

    /** The same, and what is read is the value. */
    public <T> GoldenFile expectRoundTrip(
            String name, T value, Function<T, Map<String, Object>> writer, Function<Fields, T> reader) {
        expectReencoded(name, value, writer, reader);
        checks.add(() -> assertEquals(value, reader.apply(decode(expected.get(name))), name + ", read"));
        return this;
    }

    /** What others write in other words than this program would: how it is sent, and how it is written once it is read. */
    public GoldenFile expectDecoded(
            String name, Map<String, Object> sent, Function<Fields, Map<String, Object>> decodeAndEncode) {
        String decodedName = name + ", as read";
        expectEncoded(name, sent);
        expectEncoded.put(decodedName, encodeHex(decodeAndEncode.apply(decode(encodeHex(sent)))));
        checks.add(() -> assertEquals(
                expected.get(decodedName), encodeHex(decodeAndEncode.apply(decode(expected.get(name)))), decodedName));
        return this;
    }

    /** What cannot be read, and the reason that is given for it. */
    public GoldenFile expectRejected(String name, Map<String, Object> sent, Function<Fields, ?> reader) {
        expectEncoded(name, sent);
        Fields fields = decode(UPDATES_FILES ? encodeHex(sent) : expected.getOrDefault(name, encodeHex(sent)));
        return expectText(name + ", refused", failureMessage(() -> reader.apply(fields)));
    }

    /** The message with which something fails; "no fault" if it does not. */
    public static String failureMessage(Executable code) {
        try {
            code.execute();
            return "no fault";
        } catch (Throwable e) {
            return e.getMessage();
        }
    }

    /** Everything that was added, and that the file has no line besides. */
    public void verify() {
        if (UPDATES_FILES) {
            rewriteFile();
        }
        checks.add(
                () -> assertEquals(List.copyOf(expected.keySet()), List.copyOf(expectEncoded.keySet()), "the cases"));
        assertAll(fileName, checks);
    }

    private void rewriteFile() {
        assertEquals(null, System.getenv("CI"), "golden files are not written by the build server");
        StringBuilder lines = new StringBuilder();
        expectEncoded.forEach((name, value) ->
                lines.append(escape(name)).append('\t').append(escape(value)).append('\n'));
        try {
            Files.createDirectories(DIRECTORY);
            Files.writeString(DIRECTORY.resolve(fileName), lines);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        fail(DIRECTORY.resolve(fileName) + " is written anew: read the difference, and run again without golden.write");
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
