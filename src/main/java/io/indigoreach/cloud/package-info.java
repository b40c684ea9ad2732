/**
 * The client of the cloud, its codec ({@link io.indigoreach.cloud.CloudCodec}), and the catalogue of machine types.
 */
package io.indigoreach.cloud;
