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
    private static final boolean WRITES = Boolean.getBoolean("golden.write");

    private final String file;
    private final Map<String, String> golden;
    private final Map<String, String> written = new LinkedHashMap<>();
    private final List<Executable> checks = new ArrayList<>();

    public GoldenFile(String file) {
        this.file = file;
        this.golden = WRITES ? Map.of() : load(file);
    }

    /** Returns the values of a golden file by case name. */
    public static Map<String, String> load(String file) {
        Map<String, String> lines = new LinkedHashMap<>();
        try {
            for (String line : Files.readAllLines(DIRECTORY.resolve(file))) {
                int tab = line.indexOf('\t');
                assertEquals(
                        null, lines.put(unescaped(line.substring(0, tab)), unescaped(line.substring(tab + 1))), line);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return lines;
    }

    public static String hex(Map<String, Object> message) {
        return HexFormat.of().formatHex(MessagePackFormat.write(message).getBytes());
    }

    private static Fields fields(String hex) {
        return MessagePackFormat.readMap(Buffer.buffer(HexFormat.of().parseHex(hex)));
    }

    /** Expects the golden text, such as a response, a path or an error line. */
    public GoldenFile text(String name, String text) {
        assertEquals(null, written.put(name, text), "duplicate case name " + name);
        checks.add(() -> assertEquals(golden.get(name), text, name));
        return this;
    }

    /** Expects the golden bytes of a message that this program only writes. */
    public GoldenFile written(String name, Map<String, Object> message) {
        assertEquals(null, written.put(name, hex(message)), "duplicate case name " + name);
        checks.add(() -> assertEquals(golden.get(name), hex(message), () -> name + ": " + readable(name, message)));
        return this;
    }

    /** Expects the golden bytes of a message whose field order differs between runs; the fields are sorted before the comparison. */
    public GoldenFile unordered(String name, Map<String, Object> message) {
        return written(name, sorted(message));
    }

    private static Map<String, Object> sorted(Map<?, ?> map) {
        Map<String, Object> sorted = new TreeMap<>();
        map.forEach((key, value) -> sorted.put((String) key, value instanceof Map<?, ?> m ? sorted(m) : value));
        return sorted;
    }

    private String readable(String name, Map<String, Object> message) {
        String line = golden.get(name);
        return "golden " + (line == null ? "none" : fields(line).map()) + ", written " + message;
    }

    /** Expects that the value is encoded as the golden bytes, and that decoding and encoding these gives the same bytes. */
    public <T> GoldenFile again(
            String name, T value, Function<T, Map<String, Object>> writer, Function<Fields, T> reader) {
        written(name, writer.apply(value));
        checks.add(() -> {
            assertNotNull(golden.get(name), name);
            Map<String, Object> again = writer.apply(reader.apply(fields(golden.get(name))));
            assertEquals(
                    golden.get(name), hex(again), () -> name + ", after decoding and encoding: " + readable(name, again));
        });
        return this;
    }

    /** Like {@link #again}, and expects that the golden bytes are decoded as the value. */
    public <T> GoldenFile both(
            String name, T value, Function<T, Map<String, Object>> writer, Function<Fields, T> reader) {
        again(name, value, writer, reader);
        checks.add(() -> assertEquals(value, reader.apply(fields(golden.get(name))), name + ", decoded value"));
        return this;
    }

    /** Expects that a message in a form which only other programs write is decoded, and that the result is encoded as the golden bytes. */
    public GoldenFile read(
            String name, Map<String, Object> sent, Function<Fields, Map<String, Object>> readAndWritten) {
        String as = name + ", as read";
        written(name, sent);
        written.put(as, hex(readAndWritten.apply(fields(hex(sent)))));
        checks.add(() -> assertEquals(golden.get(as), hex(readAndWritten.apply(fields(golden.get(name)))), as));
        return this;
    }

    /** Expects that a message cannot be decoded, with the golden error message. */
    public GoldenFile refused(String name, Map<String, Object> sent, Function<Fields, ?> reader) {
        written(name, sent);
        Fields read = fields(WRITES ? hex(sent) : golden.getOrDefault(name, hex(sent)));
        return text(name + ", refused", fault(() -> reader.apply(read)));
    }

    /** Returns the message of the exception that the code throws, or "no fault" if it throws none. */
    public static String fault(Executable what) {
        try {
            what.execute();
            return "no fault";
        } catch (Throwable e) {
            return e.getMessage();
        }
    }

    /** Checks all added cases, and that the file contains no other cases. */
    public void check() {
        if (WRITES) {
            write();
        }
        checks.add(() -> assertEquals(List.copyOf(golden.keySet()), List.copyOf(written.keySet()), "names of the cases"));
        assertAll(file, checks);
    }

    private void write() {
        assertEquals(null, System.getenv("CI"), "golden files must not be written in CI");
        StringBuilder lines = new StringBuilder();
        written.forEach((name, value) ->
                lines.append(escaped(name)).append('\t').append(escaped(value)).append('\n'));
        try {
            Files.createDirectories(DIRECTORY);
            Files.writeString(DIRECTORY.resolve(file), lines);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        fail(DIRECTORY.resolve(file) + " was rewritten: review the diff, and run again without golden.write");
    }

    private static String escaped(String text) {
        return text.replace("\\", "\\\\")
                .replace("\n", "\\n")
                .replace("\t", "\\t")
                .replace("\r", "\\r");
    }

    private static String unescaped(String line) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < line.length(); i++) {
            char c = line.charAt(i);
            if (c != '\\') {
                text.append(c);
                continue;
            }
            char next = line.charAt(++i);
            text.append(next == 'n' ? '\n' : next == 't' ? '\t' : next == 'r' ? '\r' : next);
        }
        return text.toString();
    }
}
