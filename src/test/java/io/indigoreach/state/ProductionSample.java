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
 * A record or message that an earlier version of the program wrote. The test resources have a file with one line per sample, with its
 * name and its bytes in hex (docs/notes/versions.md describes how to create the files).
 *
 * @param written the map that this version writes
 * @param read decodes the sample in this version
 * @param value the expected decoded value, whichever version wrote the sample
 */
public record ProductionSample(Map<String, Object> written, Function<Fields, Object> read, Object value) {
    /** The samples of a file in hex, by name. */
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

    /** The bytes that this version writes, in hex as in the files. */
    public String hex() {
        return hex(MessagePackFormat.write(written));
    }

    public static String hex(Buffer bytes) {
        return HexFormat.of().formatHex(bytes.getBytes());
    }
}
