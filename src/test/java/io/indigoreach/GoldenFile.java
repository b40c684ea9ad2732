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
    private static final boolean WRITES = Boolean.getBoolean("golden.write");

    private final String file;
    private final Map<String, String> golden;
    private final Map<String, String> written = new LinkedHashMap<>();
    private final List<Executable> checks = new ArrayList<>();

    public GoldenFile(String file) {
        this.file = file;
        this.golden = WRITES ? Map.of() : load(file);
    }

    /** The lines of a file, by their names. */
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

    /** A text that has to be the same, such as an answer, a path or the line that tells a fault. */
    public GoldenFile text(String name, String text) {
        assertEquals(null, written.put(name, text), "two cases of the name " + name);
        checks.add(() -> assertEquals(golden.get(name), text, name));
        return this;
    }

    /** What is only written here. */
    public GoldenFile written(String name, Map<String, Object> message) {
        assertEquals(null, written.put(name, hex(message)), "two cases of the name " + name);
        checks.add(() -> assertEquals(golden.get(name), hex(message), () -> name + ": " + readable(name, message)));
        return this;
    }

    /** What is written from a map whose order is another in each run: its fields are compared in the order of their names. */
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

    /** Written as it is golden; the golden one is read, and written again as it was. */
    public <T> GoldenFile again(
            String name, T value, Function<T, Map<String, Object>> writer, Function<Fields, T> reader) {
        written(name, writer.apply(value));
        checks.add(() -> {
            assertNotNull(golden.get(name), name);
            Map<String, Object> again = writer.apply(reader.apply(fields(golden.get(name))));
            assertEquals(
                    golden.get(name), hex(again), () -> name + ", read and written again: " + readable(name, again));
        });
        return this;
    }

    /** The same, and what is read is the value. */
    public <T> GoldenFile both(
            String name, T value, Function<T, Map<String, Object>> writer, Function<Fields, T> reader) {
        again(name, value, writer, reader);
        checks.add(() -> assertEquals(value, reader.apply(fields(golden.get(name))), name + ", read"));
        return this;
    }

    /** What others write in other words than this program would: how it is sent, and how it is written once it is read. */
    public GoldenFile read(
            String name, Map<String, Object> sent, Function<Fields, Map<String, Object>> readAndWritten) {
        String as = name + ", as read";
        written(name, sent);
        written.put(as, hex(readAndWritten.apply(fields(hex(sent)))));
        checks.add(() -> assertEquals(golden.get(as), hex(readAndWritten.apply(fields(golden.get(name)))), as));
        return this;
    }

    /** What cannot be read, and the reason that is given for it. */
    public GoldenFile refused(String name, Map<String, Object> sent, Function<Fields, ?> reader) {
        written(name, sent);
        Fields read = fields(WRITES ? hex(sent) : golden.getOrDefault(name, hex(sent)));
        return text(name + ", refused", fault(() -> reader.apply(read)));
    }

    /** The message with which something fails; "no fault" if it does not. */
    public static String fault(Executable what) {
        try {
            what.execute();
            return "no fault";
        } catch (Throwable e) {
            return e.getMessage();
        }
    }

    /** Everything that was added, and that the file has no line besides. */
    public void check() {
        if (WRITES) {
            write();
        }
        checks.add(() -> assertEquals(List.copyOf(golden.keySet()), List.copyOf(written.keySet()), "the cases"));
        assertAll(file, checks);
    }

    private void write() {
        assertEquals(null, System.getenv("CI"), "golden files are not written by the build server");
        StringBuilder lines = new StringBuilder();
        written.forEach((name, value) ->
                lines.append(escaped(name)).append('\t').append(escaped(value)).append('\n'));
        try {
            Files.createDirectories(DIRECTORY);
            Files.writeString(DIRECTORY.resolve(file), lines);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        fail(DIRECTORY.resolve(file) + " is written anew: read the difference, and run again without golden.write");
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
