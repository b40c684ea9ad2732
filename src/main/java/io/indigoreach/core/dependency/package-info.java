/** Jobs that depend on other jobs: which are released, cancelled with another, and when they have to start. */
package io.indigoreach.core.dependency;
