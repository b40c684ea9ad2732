/**
 * The controller of a node: leader election, leadership terms with their loading and writing of records, machine
 * rental, and the peer protocol. {@link io.indigoreach.core.scheduling.SchedulerCore} makes the scheduling decisions;
 * this package performs the I/O for them. Classes are bound to the node's event loop unless documented otherwise, and
 * none of them blocks.
 */
package io.indigoreach.cluster;
