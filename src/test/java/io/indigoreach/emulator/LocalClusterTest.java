package io.indigoreach.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.Test;

/** The harness of the other tests: its clusters do not take each other's ports, and one that does not start says why. */
class LocalClusterTest {
    private static final int BLOCKS = 4;

    @Test
    void aPortThatIsTakenIsTheCauseThatIsTold() throws Exception {
        LocalCluster cluster = new LocalCluster(2, "");
        int port = cluster.emulator.nodes().get(1).listen().port();
        ServerSocket other = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
        try {
            ExecutionException failure = assertThrows(ExecutionException.class, cluster::start);
            assertInstanceOf(BindException.class, failure.getCause());
            assertEquals(0, failure.getSuppressed().length, "the cluster is closed");
        } finally {
            other.close();
        }
    }

    @Test
    void blocksThatAreHeldAreNotGivenOutAgain() throws Exception {
        Set<Integer> firstPorts = new HashSet<>();
        Set<PortBlock> held = new HashSet<>();
        try {
            for (int n = 0; n < BLOCKS; n++) {
                PortBlock block = PortBlock.acquire();
                held.add(block);
                firstPorts.add(block.place().firstPort());
            }
            assertEquals(BLOCKS, firstPorts.size());
        } finally {
            for (PortBlock block : held) {
                block.close();
            }
        }
    }
}
