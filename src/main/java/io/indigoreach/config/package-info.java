/**
 * The settings: the platform's file ({@link io.indigoreach.config.PlatformConfig}, TOML) and the operators' file
 * ({@link io.indigoreach.config.Settings}, protobuf text format), read and checked before anything is served.
 */
package io.indigoreach.config;
