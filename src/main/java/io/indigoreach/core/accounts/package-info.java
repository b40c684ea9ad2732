/** What rented machines cost and which team pays: open intervals per machine, and the sums that they end in. Pure. */
package io.indigoreach.core.accounts;
