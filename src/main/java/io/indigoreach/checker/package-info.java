/** Checks a recorded history against the rules of the protocol. */
package io.indigoreach.checker;
