package io.indigoreach.emulator;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Free ports that must be known before anything listens on them. They lie below those that systems give out by
 * themselves, so that no connection takes one in the meantime, and this process hands none out twice.
 */
final class Ports {
    private static final int FIRST = 10_000;
    private static final int COUNT = 20_000;
    /** Each process begins elsewhere. */
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % COUNT));

    private Ports() {}

    static int[] free(String host, int n) throws IOException {
        int[] ports = new int[n];
        int tried = 0;
        for (int i = 0; i < n; tried++) {
            if (tried > COUNT) {
                throw new BindException("no free ports on " + host);
            }
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                ports[i++] = probe.getLocalPort();
            } catch (BindException e) {
                // In use: the next one.

            }
        }
        return ports;
    }
}
