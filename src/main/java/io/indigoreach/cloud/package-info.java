/**
 * Client and codec of the cloud's API ({@link io.indigoreach.cloud.CloudCodec}), and the catalogue of machine types.
 */
package io.indigoreach.cloud;
