/**
 * Requests to the cloud in progress, which a leader records before it sends them so that the next leader can complete them. The code has no side
 * effects.
 */
package io.indigoreach.core.intent;
