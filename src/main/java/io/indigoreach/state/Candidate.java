package io.indigoreach.state;

/**
 * Who takes part in leader election.
 *
 * @param node the node's name, the same after a restart
 * @param process identifies this process of the node
 * @param peers how many other nodes the deployment has
 */
public record Candidate(String node, String process, int peerCount) {
    boolean hasPeers() {
        return peerCount > 0;
    }
}
