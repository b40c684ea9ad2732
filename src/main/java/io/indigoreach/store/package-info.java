/** Records on disk: an append-only file with checksums, and the bases that it is compacted into. */
package io.indigoreach.store;
