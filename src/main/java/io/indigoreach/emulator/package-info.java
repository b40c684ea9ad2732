/** An emulated cloud, state service and fleet of workers on loopback sockets, with faults on a timeline. */
package io.indigoreach.emulator;
