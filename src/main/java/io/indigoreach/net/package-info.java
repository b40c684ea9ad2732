/**
 * Protocol-independent I/O: MessagePack, HTTP requests and bodies, event loops, periodic tasks, rate limits and the clock.
 */
package io.indigoreach.net;
