/**
 * The scheduler of one leadership term: queues, dispatch, scale-out and scale-in, failure detection and failover.
 * {@link io.indigoreach.core.scheduling.SchedulerCore} is its entry point.
 */
package io.indigoreach.core.scheduling;
