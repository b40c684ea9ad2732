/**
 * Decisions about leadership: fencing tokens, the time up to which a leader knows all confirmed cancellations, and whether a node is isolated.
 * The code has no side effects; the election is in {@code io.indigoreach.state}, the requests between nodes are in {@code
 * io.indigoreach.cluster}.
 */
package io.indigoreach.core.leadership;
