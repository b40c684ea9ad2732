package io.indigoreach.state;

import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * Records and messages as another version of the program wrote them: a file in the test resources, a line for each with its name
 * and its bytes (docs/notes/versions.md says how the files are made).
 *
 * @param written as this version writes it
 * @param read how this version reads it
 * @param value what is read, whichever version wrote it
 */
public record ProductionSample(Map<String, Object> written, Function<Fields, Object> read, Object value) {
    /** The lines of a file, by their names. */
    public static Map<String, String> load(String file) {
        Map<String, String> lines = new LinkedHashMap<>();
        try (InputStream in = ProductionSample.class.getResourceAsStream("/production/" + file)) {
            new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().forEach(line -> {
                int space = line.lastIndexOf(' ');
                lines.put(line.substring(0, space), line.substring(space + 1));
            });
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return lines;
    }

    public static Fields fields(String hex) {
        return MessagePackFormat.readMap(Buffer.buffer(HexFormat.of().parseHex(hex)));
    }

    /** As it stands in a file. */
    public String hex() {
        return hex(MessagePackFormat.write(written));
    }

    public static String hex(Buffer bytes) {
        return HexFormat.of().formatHex(bytes.getBytes());
    }
}
