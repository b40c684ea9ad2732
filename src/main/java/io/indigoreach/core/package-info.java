/**
 * The decisions of the service, pure: events and the time go in, commands and requests come out. Nothing in these packages does
 * input or output, reads a clock or starts a thread.
 */
package io.indigoreach.core;
