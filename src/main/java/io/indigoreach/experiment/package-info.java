/** Runs controllers as real processes against the emulator, and reports what was measured. */
package io.indigoreach.experiment;
