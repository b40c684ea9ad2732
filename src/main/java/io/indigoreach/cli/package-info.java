/**
 * The command line of a node ({@link io.indigoreach.cli.Main}), and the run that records its classes for the class-data archive.
 */
package io.indigoreach.cli;
