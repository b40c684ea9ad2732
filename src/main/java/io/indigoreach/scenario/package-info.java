/** Readers of the scenario files in protobuf text format: deployments, load, faults and jobs. */
package io.indigoreach.scenario;
