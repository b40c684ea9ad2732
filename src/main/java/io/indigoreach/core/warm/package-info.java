/**
 * Warm pools: how many machines hold an image ahead of its replicas, which machines they are, and where new ones are rented.
 * Pure.
 */
package io.indigoreach.core.warm;
