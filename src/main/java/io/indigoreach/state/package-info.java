/**
 * The state service, a consensus-backed key-value store that holds all durable state of the controllers: its client
 * ({@link io.indigoreach.state.StateClient}), whose transactions are compare-and-swaps on the revisions of keys; the keys and
 * values of the records ({@link io.indigoreach.state.RecordKeys} and the codecs); leader election
 * ({@link io.indigoreach.state.LeaderElection}); and the data format that all nodes support
 * ({@link io.indigoreach.state.FormatGate}). The classes that hold state are bound to the event loop of their Vert.x instance.
 */
package io.indigoreach.state;
