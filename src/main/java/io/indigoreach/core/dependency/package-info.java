/** Dependencies between jobs: when jobs are released, which are cancelled with a required job, and by when required jobs must complete. */
package io.indigoreach.core.dependency;
