package io.indigoreach;

import io.indigoreach.net.Endpoint;
import io.indigoreach.net.MessagePackFormat;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Sends HTTP requests over separate connections, and formats the responses as they are stored in golden files. */
public final class GoldenHttp {
    private static final int PATIENCE_MS = 20_000;
    private static final Set<String> HEADERS = Set.of("content-type", "retry-after", "allow");

    private GoldenHttp() {}

    public static String get(Endpoint at, String path) throws IOException {
        return ask(at, "GET", path, new byte[0], Set.of());
    }

    public static String post(Endpoint at, String path, Map<String, Object> body) throws IOException {
        return ask(at, "POST", path, MessagePackFormat.write(body).getBytes(), Set.of());
    }

    /** Returns status, headers and body. The values of the fields named in {@code ofTheMoment} change between runs and are masked. */
    public static String ask(Endpoint at, String method, String path, byte[] body, Set<String> ofTheMoment)
            throws IOException {
        return send(at, method, path, body.length, body, ofTheMoment);
    }

    /** Sends a request with this Content-Length but without a body. */
    public static String announce(Endpoint at, String path, int length) throws IOException {
        return send(at, "POST", path, length, new byte[0], Set.of());
    }

    private static String send(
            Endpoint at, String method, String path, int length, byte[] body, Set<String> ofTheMoment)
            throws IOException {
        try (Socket socket = new Socket(at.host(), at.port())) {
            socket.setSoTimeout(PATIENCE_MS);
            OutputStream out = socket.getOutputStream();
            String head = method + " " + path + " HTTP/1.1\r\nHost: node\r\nConnection: close\r\n"
                    + (method.equals("GET") ? "" : "Content-Length: " + length + "\r\n") + "\r\n";
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.write(body);
            out.flush();
            return answer(socket.getInputStream().readAllBytes(), ofTheMoment);
        }
    }

    private static String answer(byte[] bytes, Set<String> ofTheMoment) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        int end = text.indexOf("\r\n\r\n");
        String[] head = text.substring(0, end).split("\r\n");
        Map<String, String> headers = new TreeMap<>();
        for (String line : Arrays.asList(head).subList(1, head.length)) {
            String name = line.substring(0, line.indexOf(':')).toLowerCase(Locale.ROOT);
            if (HEADERS.contains(name)) {
                headers.put(name, line.substring(line.indexOf(':') + 1).trim());
            }
        }
        byte[] body = Arrays.copyOfRange(bytes, end + 4, bytes.length);
        if (!ofTheMoment.isEmpty() && body.length > 0) {
            body = MessagePackFormat.write(
                            still(MessagePackFormat.readMap(Buffer.buffer(body)).map(), ofTheMoment))
                    .getBytes();
        }
        return head[0].split(" ")[1] + " " + headers + " " + HexFormat.of().formatHex(body);
    }

    /** Masks the values that change between runs: numbers in the named fields become 0, and times in strings become placeholders. */
    public static Object still(Object value, Set<String> ofTheMoment) {
        if (value instanceof Map<?, ?> map) {
            Map<String, Object> out = new LinkedHashMap<>();
            map.forEach(
                    (key, v) -> out.put((String) key, ofTheMoment.contains(key) ? moment(v) : still(v, ofTheMoment)));
            return out;
        }
        if (value instanceof List<?> list) {
            List<Object> out = new ArrayList<>();
            list.forEach(v -> out.add(still(v, ofTheMoment)));
            return out;
        }
        return value instanceof String s
                ? s.replaceAll("since \\d{10}", "since TIME").replaceAll("\\d{12,}", "FENCE")
                : value;
    }

    private static Object moment(Object value) {
        if (value instanceof Map<?, ?> map) {
            Map<String, Object> out = new LinkedHashMap<>();
            map.forEach((key, v) -> out.put((String) key, moment(v)));
            return out;
        }
        return value instanceof Long ? (Object) 0L : value instanceof Double ? (Object) 0.0 : value;
    }
}
