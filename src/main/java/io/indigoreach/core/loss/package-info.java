/**
 * Data loss of the state service: evidence for it, what controllers remember of lost records, and the repair of unreadable ones. Pure: the
 * rebuild is in {@code io.indigoreach.cluster}, the repair of single records in {@code io.indigoreach.state}.
 */
package io.indigoreach.core.loss;
