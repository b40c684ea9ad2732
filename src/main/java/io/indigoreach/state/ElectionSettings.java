package io.indigoreach.state;

import io.indigoreach.core.leadership.TokenGenerator;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.SteadyClock;

/**
 * What leader election depends on.
 *
 * @param state the node's event loop, on which the election runs
 * @param renewals an event loop for lease renewals alone
 * @param clock this process's clock
 * @param candidate this node
 * @param leaseTime how long the leader's lease lasts without renewal
 * @param tokens generates the fencing token of each leadership
 */
public record ElectionSettings(
        StateAccess state,
        StateAccess renewals,
        SteadyClock clock,
        Candidate candidate,
        Span leaseTime,
        TokenGenerator tokens) {}
