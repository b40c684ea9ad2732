/** The registry of who may bill which record: claims by compare-and-swap over pages, in steps that may end anywhere. Pure. */
package io.indigoreach.core.ownership;
