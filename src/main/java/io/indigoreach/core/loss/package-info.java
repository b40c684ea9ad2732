/**
 * Data loss of the state service: its detection, what controllers remember of lost records, and decisions on the repair of unreadable ones. The
 * code has no side effects; the rebuild is in {@code io.indigoreach.cluster}, the repair of single records in {@code
 * io.indigoreach.state}.
 */
package io.indigoreach.core.loss;
