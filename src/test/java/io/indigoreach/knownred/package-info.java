/** The list of tests that are known to fail, and the JUnit extension that ignores their failures. */
package io.indigoreach.knownred;
