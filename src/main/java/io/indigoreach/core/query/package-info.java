/** Fairness of users' queries: admission of requests, and the order in which shared listings answer them. The code has no side effects. */
package io.indigoreach.core.query;
