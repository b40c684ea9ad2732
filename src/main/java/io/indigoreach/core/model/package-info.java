/** Jobs, tasks, machines, heartbeats, worker commands and fencing tokens as immutable values. */
package io.indigoreach.core.model;
