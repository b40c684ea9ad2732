/**
 * The registry of record ownership on a node: its HTTP resource, its part in the acceptance of jobs, and the leader's work. The
 * decisions are in {@link io.indigoreach.core.ownership}.
 */
package io.indigoreach.ownership;
