package io.indigoreach.cluster;

import io.indigoreach.cloud.Catalogue;
import io.indigoreach.cloud.CloudClient;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.EventLoopMonitor;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.parts.Parts;
import io.indigoreach.state.JobRepairer;
import io.indigoreach.state.StateClient;
import io.vertx.core.Vertx;

/** The clients, clocks and settings of one node, shared by all its leadership terms. Built once, by {@link Node}. */
record NodeContext(
        Vertx vertx,
        SteadyClock clock,
        EventLoopMonitor loopMonitor,
        StateClient state,
        CloudClient cloud,
        Catalogue catalogue,
        PlatformConfig config,
        Settings settings,
        Span lease,
        Parts parts,
        JobRepairer repairer) {
    static Builder builder() {
        return new Builder();
    }

    /** The state service's limits currently in force, which bound values, transactions and request rates. */
    PlatformConfig.StateLimits limits() {
        return state.limits().applyTo(config.stateLimits());
    }

    /** Converts a wall-clock time in ms to this process's steady clock; future times are converted to now. */
    Moment toSteadyTime(long wallClockMs) {
        long elapsedMs = Math.max(0, clock.timeOfDay() - wallClockMs);
        return clock.now().minus(new Span(elapsedMs));
    }

    /** Collects the components; optional features and the repairer have defaults. */
    static final class Builder {
        private Vertx vertx;
        private SteadyClock clock;
        private EventLoopMonitor loopMonitor;
        private StateClient state;
        private CloudClient cloud;
        private Catalogue catalogue;
        private PlatformConfig config;
        private Settings settings;
        private Span lease;
        private Parts parts = Parts.NONE;
        private JobRepairer repairer;

        private Builder() {}

        Builder vertx(Vertx newVertx) {
            vertx = newVertx;
            return this;
        }

        Builder clock(SteadyClock newClock) {
            clock = newClock;
            return this;
        }

        Builder loopMonitor(EventLoopMonitor newLoopMonitor) {
            loopMonitor = newLoopMonitor;
            return this;
        }

        Builder state(StateClient newState) {
            state = newState;
            return this;
        }

        Builder cloud(CloudClient newCloud) {
            cloud = newCloud;
            return this;
        }

        Builder catalogue(Catalogue newCatalogue) {
            catalogue = newCatalogue;
            return this;
        }

        Builder config(PlatformConfig newConfig) {
            config = newConfig;
            return this;
        }

        Builder settings(Settings newSettings) {
            settings = newSettings;
            return this;
        }

        Builder lease(Span newLease) {
            lease = newLease;
            return this;
        }

        Builder parts(Parts newParts) {
            parts = newParts;
            return this;
        }

        /** Sets the repairer; by default one is created from the state client and the clock. */
        Builder repairer(JobRepairer newRepairer) {
            repairer = newRepairer;
            return this;
        }

        NodeContext build() {
            JobRepairer usedRepairer = repairer == null ? new JobRepairer(state, clock) : repairer;
            return new NodeContext(
                    vertx, clock, loopMonitor, state, cloud, catalogue, config, settings, lease, parts, usedRepairer);
        }
    }
}
