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
    private static final int READ_TIMEOUT_MS = 20_000;
    private static final Set<String> COMPARED_HEADERS = Set.of("content-type", "retry-after", "allow");

    private GoldenHttp() {}

    public static String get(Endpoint endpoint, String path) throws IOException {
        return exchange(endpoint, "GET", path, new byte[0], Set.of());
    }

    public static String post(Endpoint endpoint, String path, Map<String, Object> body) throws IOException {
        return exchange(endpoint, "POST", path, MessagePackFormat.write(body).getBytes(), Set.of());
    }

    /** Returns status, headers and body. The values of the fields named in {@code volatileFields} change between runs and are masked. */
    public static String exchange(
            Endpoint endpoint, String method, String path, byte[] body, Set<String> volatileFields) throws IOException {
        return send(endpoint, method, path, body.length, body, volatileFields);
    }

    /** Sends a request with this Content-Length but without a body. */
    public static String sendWithoutBody(Endpoint endpoint, String path, int length) throws IOException {
        return send(endpoint, "POST", path, length, new byte[0], Set.of());
    }

    private static String send(
            Endpoint endpoint, String method, String path, int length, byte[] body, Set<String> volatileFields)
            throws IOException {
        try (Socket socket = new Socket(endpoint.host(), endpoint.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            OutputStream out = socket.getOutputStream();
            String head = method + " " + path + " HTTP/1.1\r\nHost: node\r\nConnection: close\r\n"
                    + (method.equals("GET") ? "" : "Content-Length: " + length + "\r\n") + "\r\n";
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.write(body);
            out.flush();
            return formatResponse(socket.getInputStream().readAllBytes(), volatileFields);
        }
    }

    private static String formatResponse(byte[] bytes, Set<String> volatileFields) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        int headEnd = text.indexOf("\r\n\r\n");
        String[] head = text.substring(0, headEnd).split("\r\n");
        Map<String, String> headers = new TreeMap<>();
        for (String line : Arrays.asList(head).subList(1, head.length)) {
            String name = line.substring(0, line.indexOf(':')).toLowerCase(Locale.ROOT);
            if (COMPARED_HEADERS.contains(name)) {
                headers.put(name, line.substring(line.indexOf(':') + 1).trim());
            }
        }
        byte[] body = Arrays.copyOfRange(bytes, headEnd + 4, bytes.length);
        if (!volatileFields.isEmpty() && body.length > 0) {
            body = MessagePackFormat.write(maskVolatileValues(
                            MessagePackFormat.readMap(Buffer.buffer(body)).map(), volatileFields))
                    .getBytes();
        }
        return head[0].split(" ")[1] + " " + headers + " " + HexFormat.of().formatHex(body);
    }

    /** Masks the values that change between runs: numbers in the named fields become 0, and times in strings become placeholders. */
    public static Object maskVolatileValues(Object value, Set<String> volatileFields) {
        if (value instanceof Map<?, ?> map) {
            Map<String, Object> masked = new LinkedHashMap<>();
            map.forEach((key, v) -> masked.put(
                    (String) key,
                    volatileFields.contains(key) ? maskNumbers(v) : maskVolatileValues(v, volatileFields)));
            return masked;
        }
        if (value instanceof List<?> list) {
            List<Object> masked = new ArrayList<>();
            list.forEach(v -> masked.add(maskVolatileValues(v, volatileFields)));
            return masked;
        }
        return value instanceof String text
                ? text.replaceAll("since \\d{10}", "since TIME").replaceAll("\\d{12,}", "FENCE")
                : value;
    }

    private static Object maskNumbers(Object value) {
        if (value instanceof Map<?, ?> map) {
            Map<String, Object> masked = new LinkedHashMap<>();
            map.forEach((key, v) -> masked.put((String) key, maskNumbers(v)));
            return masked;
        }
        return value instanceof Long ? (Object) 0L : value instanceof Double ? (Object) 0.0 : value;
    }
}
