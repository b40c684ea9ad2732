/**
 * Requests to the cloud in progress, as a leader records them before it sends them, so that the next leader can complete them. Pure: no
 * input, output, clock or threads.
 */
package io.indigoreach.core.intent;
