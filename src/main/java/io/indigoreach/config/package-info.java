/**
 * Configuration: the platform's file ({@link io.indigoreach.config.PlatformConfig}, TOML) and the operators' file
 * ({@link io.indigoreach.config.Settings}, protobuf text format), validated before a node starts serving.
 */
package io.indigoreach.config;
