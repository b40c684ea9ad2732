/** Fairness of users' queries: which requests may wait, and in which order shared listings answer them. Pure. */
package io.indigoreach.core.query;
