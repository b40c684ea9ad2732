/** Common interface of the optional parts of a node (calendar, ownership, warm pools), and the set that the settings enable. */
package io.indigoreach.parts;
