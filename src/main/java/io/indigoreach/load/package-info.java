/** Generates jobs by a scenario, and acts as the users who submit, poll and cancel them. */
package io.indigoreach.load;
