package standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** HTTP/1.1 with MessagePack bodies, a thread for each connection. */
final class Http {
    static final String HOST = "127.0.0.1";

    record Request(String method, String path, Map<String, String> query, byte[] body) {
        Map<String, Object> map() {
            return Msg.readMap(body);
        }

        long number(String parameter, long absent) {
            return query.containsKey(parameter) ? Long.parseLong(query.get(parameter)) : absent;
        }
    }

    record Response(int status, Map<String, Object> body) {}

    interface Service {
        Response serve(Request request) throws Exception;
    }

    private static int nextPort = 10_000 + (int) (ProcessHandle.current().pid() % 1_000) * 20;

    private Http() {}

    static void daemon(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, 512 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * A free port for a process that opens it itself a moment later. It lies below the ports that connections get by default, and
     * scripts that run side by side look in different places, so that nothing takes it in between.
     */
    static synchronized int freePort() throws IOException {
        while (nextPort < 32_000) {
            int port = nextPort++;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Taken: the next one.
            }
        }
        throw new IOException("no free port");
    }

    /** Serves on a free port of the loopback address and returns the port. */
    static int serve(String name, Service service) throws IOException {
        ServerSocket listener = new ServerSocket(0, 512, InetAddress.getByName(HOST));
        daemon(name, () -> {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    daemon(name + " connection", () -> serveConnection(socket, service));
                } catch (IOException e) {
                    return;
                }
            }
        });
        return listener.getLocalPort();
    }

    private static void serveConnection(Socket socket, Service service) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String requestLine = readLine(in);
                if (requestLine == null) {
                    return;
                }
                Map<String, String> headers = readHeaders(in);
                byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                String[] words = requestLine.split(" ");
                Response response;
                try {
                    response = service.serve(request(words[0], words[1], body));
                } catch (IllegalArgumentException | NullPointerException | ClassCastException e) {
                    response = new Response(400, Msg.map("error", "malformed"));
                }
                byte[] answer = Msg.write(response.body());
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                out.write(("HTTP/1.1 " + response.status() + " X\r\nContent-Type: application/msgpack\r\nContent-Length: "
                                + answer.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                out.write(answer);
                socket.getOutputStream().write(out.toByteArray());
                if ("close".equalsIgnoreCase(headers.get("connection"))) {
                    return;
                }
            }
        } catch (Exception e) {
            // The other side has gone.
        }
    }

    private static Request request(String method, String target, byte[] body) {
        int mark = target.indexOf('?');
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(
                        pair.substring(0, equals),
                        java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        String path = mark < 0 ? target : target.substring(0, mark);
        return new Request(method, path, query, body);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c < 0) {
                return null;
            }
            if (c == '\n') {
                return line.toString().strip();
            }
            line.append((char) c);
        }
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new IOException("closed within a head");
            }
            if (line.isEmpty()) {
                return headers;
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
        }
    }

    /** One client's connection to one server; not for use by several threads. */
    static final class Client implements AutoCloseable {
        private final int port;
        private Socket socket;

        Client(int port) {
            this.port = port;
        }

        /** Sends a request; throws {@link IOException} if there is no whole response within the time. */
        Response call(String method, String path, Map<String, Object> body, int timeoutMs) throws IOException {
            long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
            boolean done = false;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    socket.connect(new InetSocketAddress(HOST, port), Math.min(500, timeoutMs));
                }
                InputStream in = new BufferedInputStream(new Timed(socket, deadline));
                byte[] bytes = body == null ? new byte[0] : Msg.write(body);
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                out.write((method + " " + path + " HTTP/1.1\r\nHost: " + HOST + ":" + port
                                + "\r\nContent-Type: application/msgpack\r\nContent-Length: " + bytes.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                out.write(bytes);
                OutputStream sink = socket.getOutputStream();
                sink.write(out.toByteArray());
                String statusLine = readLine(in);
                if (statusLine == null) {
                    throw new IOException("closed");
                }
                int status = Integer.parseInt(statusLine.split(" ")[1]);
                Map<String, String> headers = readHeaders(in);
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                byte[] answer = in.readNBytes(length);
                if (answer.length < length) {
                    throw new IOException("closed within a body");
                }
                done = !"close".equalsIgnoreCase(headers.get("connection"));
                return new Response(status, Msg.readMap(answer));
            } catch (RuntimeException e) {
                throw new IOException(e);
            } finally {
                if (!done) {
                    close();
                }
            }
        }

        @Override
        public void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                // It is gone either way.
            }
            socket = null;
        }
    }

    /** Reads from a socket until a deadline for the whole answer. */
    private static final class Timed extends InputStream {
        private final Socket socket;
        private final long deadline;

        Timed(Socket socket, long deadline) {
            this.socket = socket;
            this.deadline = deadline;
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public int read(byte[] bytes, int from, int length) throws IOException {
            long left = (deadline - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                throw new IOException("no response in time");
            }
            socket.setSoTimeout((int) left);
            return socket.getInputStream().read(bytes, from, length);
        }
    }
}
