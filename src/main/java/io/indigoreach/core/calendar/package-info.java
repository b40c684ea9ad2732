/**
 * The deadline calendar's decisions: which occurrences a plan has, when each must start at the latest, and what is written
 * about it. Pure.
 */
package io.indigoreach.core.calendar;
