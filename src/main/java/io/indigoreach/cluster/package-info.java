/**
 * The controller: one node's part in the leader election, the leadership term with its loading and writing of records, the renting
 * of machines, and the peer protocol. Decisions are made by {@link io.indigoreach.core.scheduling.SchedulerCore}; this package does
 * the input and output for them. Its classes are bound to the node's event loop unless they say otherwise, and none of them blocks.
 */
package io.indigoreach.cluster;
