package standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The way from one node to a service. It passes bytes on; connections can go silent without an error. */
final class Relay {
    /** Asked about each response before it is passed on: how many bytes of it still pass, or -1 for all. */
    interface Cut {
        int passes(String request, int length);
    }

    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *([0-9]+)");

    private final int target;
    private final Cut cut;
    private final Set<Way> open = ConcurrentHashMap.newKeySet();

    private static final class Way {
        volatile String request = "";
        volatile boolean silent;
    }

    Relay(int target, Cut cut) {
        this.target = target;
        this.cut = cut;
    }

    int open() throws IOException {
        ServerSocket listener = new ServerSocket(0, 512, InetAddress.getByName(Http.HOST));
        Http.daemon("relay", () -> {
            while (true) {
                try {
                    connect(listener.accept());
                } catch (IOException e) {
                    StateService.pause(1);
                }
            }
        });
        return listener.getLocalPort();
    }

    private void connect(Socket caller) throws IOException {
        Socket called = new Socket();
        called.connect(new InetSocketAddress(Http.HOST, target), 1000);
        caller.setTcpNoDelay(true);
        called.setTcpNoDelay(true);
        Way way = new Way();
        open.add(way);
        Http.daemon("relay there", () -> pass(caller, called, way, true));
        Http.daemon("relay back", () -> pass(called, caller, way, false));
    }

    /** From now on nothing passes on the connections that are open, in either direction; new ones work. */
    void silence() {
        open.forEach(way -> way.silent = true);
    }

    private void pass(Socket from, Socket to, Way way, boolean there) {
        byte[] bytes = new byte[65536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int count = in.read(bytes);
                if (count < 0) {
                    break;
                }
                if (way.silent) {
                    continue;
                }
                String head = new String(bytes, 0, Math.min(count, 512), StandardCharsets.ISO_8859_1);
                if (there) {
                    int end = head.indexOf("\r\n");
                    way.request = end < 0 ? way.request : head.substring(0, end);
                } else if (head.startsWith("HTTP/1.1 ")) {
                    Matcher length = LENGTH.matcher(head);
                    int passes = cut.passes(way.request, length.find() ? Integer.parseInt(length.group(1)) : 0);
                    if (passes >= 0) {
                        out.write(bytes, 0, Math.min(count, passes));
                        silence();
                        continue;
                    }
                }
                out.write(bytes, 0, count);
            }
        } catch (IOException e) {
            // One side has gone.
        }
        if (!way.silent) {
            open.remove(way);
            close(from);
            close(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is gone either way.
        }
    }
}
