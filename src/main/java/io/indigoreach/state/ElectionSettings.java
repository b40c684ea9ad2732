package io.indigoreach.state;

import io.indigoreach.core.leadership.TokenGenerator;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.SteadyClock;

/**
 * The dependencies and settings of leader election.
 *
 * @param state the node's event loop, on which the election runs
 * @param renewals a separate event loop that only renews leases
 * @param clock this process's clock
 * @param candidate this node
 * @param leaseTime the time after which the leader's lease expires unless it is renewed
 * @param tokens generates the fencing token of each leadership
 */
public record ElectionSettings(
        StateAccess state,
        StateAccess renewals,
        SteadyClock clock,
        Candidate candidate,
        Span leaseTime,
        TokenGenerator tokens) {}
