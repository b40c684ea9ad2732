/**
 * The deadline calendar on a node: its codec and cache, its HTTP resource, and the leader's work on it. The decisions are in
 * {@link io.indigoreach.core.calendar}.
 */
package io.indigoreach.calendar;
