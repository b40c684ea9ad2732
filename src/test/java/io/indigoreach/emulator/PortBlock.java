package io.indigoreach.emulator;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports in a row that one cluster of a test has to itself until it is closed, also while nothing listens on them: before a
 * controller is started, between its end and its next start, and while a fault keeps a listener closed. The first port of a
 * block is its guard: whoever holds it open owns the others, in whichever JVM of whichever test run. Blocks lie above the
 * ports that the system gives to outgoing connections, and beside those of {@link Ports}.
 */
final class PortBlock implements AutoCloseable {
    /** Enough for five controllers with four ports each, the depot, and the guard. */
    private static final int SIZE = 24;

    private static final int FIRST = 61_000;
    private static final int COUNT = (65_536 - FIRST) / SIZE;
    private static final String HOST = InetAddress.getLoopbackAddress().getHostAddress();
    /** Each process begins elsewhere. */
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() % COUNT));

    private final ServerSocket guard;

    private PortBlock(ServerSocket guard) {
        this.guard = guard;
    }

    /** The next block that nobody owns and all whose ports are free. */
    static PortBlock acquire() throws IOException {
        for (int tries = 0; tries < COUNT; tries++) {
            int first = FIRST + SIZE * Math.floorMod(NEXT.getAndIncrement(), COUNT);
            try {
                return acquire(first);
            } catch (BindException e) {
                // In use: the next one.
            }
        }
        throw new BindException("no free block of ports on " + HOST);
    }

    private static PortBlock acquire(int first) throws IOException {
        ServerSocket guard = open(first);
        try {
            for (int port = first + 1; port < first + SIZE; port++) {
                open(port).close();
            }
        } catch (IOException e) {
            guard.close();
            throw e;
        }
        return new PortBlock(guard);
    }

    private static ServerSocket open(int port) throws IOException {
        return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
    }

    /** Where an emulator uses the block's ports and keeps its contents in memory only. */
    Emulator.Place place() {
        return new Emulator.Place(HOST, guard.getLocalPort() + 1, null);
    }

    @Override
    public void close() throws IOException {
        guard.close();
    }
}
