package io.indigoreach.state;

/**
 * The identity of a node that takes part in leader election.
 *
 * @param node the node's name, which a restart does not change
 * @param process identifies the running process of the node
 * @param peers the number of other nodes in the deployment
 */
public record Candidate(String node, String process, int peers) {
    boolean hasPeers() {
        return peers > 0;
    }
}
