/**
 * Input and output that does not depend on a protocol: MessagePack, HTTP calls and bodies, event loops, periodic tasks, rate limits
 * and the clock.
 */
package io.indigoreach.net;
