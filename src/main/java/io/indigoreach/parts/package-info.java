/** What the optional parts of a node (calendar, ownership, warm pools) have in common, and which of them the settings switch on. */
package io.indigoreach.parts;
