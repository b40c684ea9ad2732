/** The command line of the tools. */
package io.indigoreach.tools;
