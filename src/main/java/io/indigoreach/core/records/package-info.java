/**
 * Records of the optional features, without input or output: versioned values under the prefix of a
 * {@link io.indigoreach.core.records.RecordFamily}, and {@link io.indigoreach.core.records.Routine routines} that read and
 * write them step by step. A routine can be interrupted after any step, so tests can end it there.
 */
package io.indigoreach.core.records;
