/**
 * The command line of a node ({@link io.indigoreach.cli.Main}), and a rehearsal run that records the classes to put
 * into the class-data sharing (CDS) archive.
 */
package io.indigoreach.cli;
