/**
 * Records of the optional features: versioned values under the prefix of a {@link io.indigoreach.core.records.RecordFamily}, and {@link
 * io.indigoreach.core.records.Routine routines} that read and write them step by step. The code performs no input or output.
 */
package io.indigoreach.core.records;
