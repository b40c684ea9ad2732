/**
 * The decision logic of the service, without side effects: the inputs are events and the current time, the outputs are commands and
 * requests. The code in these packages performs no input or output, reads no clock and starts no threads.
 */
package io.indigoreach.core;
