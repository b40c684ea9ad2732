/** Tests that are known to fail: the list of them, and what passes over just these. */
package io.indigoreach.knownred;
