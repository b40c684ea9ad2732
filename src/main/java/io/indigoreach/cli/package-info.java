/**
 * The command line of a node ({@link io.indigoreach.cli.Main}), and the rehearsal that loads its classes for the class-data archive.
 */
package io.indigoreach.cli;
