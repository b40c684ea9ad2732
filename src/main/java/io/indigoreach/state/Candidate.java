package io.indigoreach.state;

/**
 * The identity of a node that takes part in leader election.
 *
 * @param node the node's name, which a restart does not change
 * @param process identifies the running process of the node
 * @param peerCount the number of other nodes in the deployment
 */
public record Candidate(String node, String process, int peerCount) {
    boolean hasPeers() {
        return peerCount > 0;
    }
}
