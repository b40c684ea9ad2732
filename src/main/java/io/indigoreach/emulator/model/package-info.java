/** The emulator's models of the state service, the cloud and a worker: requests and times in, replies and events out. Pure. */
package io.indigoreach.emulator.model;
