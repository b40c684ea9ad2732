/**
 * Decisions about leadership: fencing tokens, up to when a leader knows confirmed cancellations, and whether a node is isolated. Pure: the
 * election itself is in {@code io.indigoreach.state}, the requests between nodes in {@code io.indigoreach.cluster}.
 */
package io.indigoreach.core.leadership;
