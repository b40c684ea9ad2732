/**
 * Warm pools on a node: their codec and records, their HTTP resource, and the leader's work on them. The decisions are in
 * {@link io.indigoreach.core.warm}.
 */
package io.indigoreach.warm;
