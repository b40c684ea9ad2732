package io.indigoreach.warm;

import io.indigoreach.api.Joining;
import io.indigoreach.api.Resource;
import io.indigoreach.core.LeaderCore;
import io.indigoreach.core.records.Family;
import io.indigoreach.parts.Part;
import io.indigoreach.parts.Parts;
import io.indigoreach.state.Records;
import java.util.List;

/** Machines that hold weights ahead of a burst: how many, for which models, and who pays. */
public final class WarmPart implements Part {
    private final Parts.Ground ground;

    public WarmPart(Parts.Ground ground) {
        this.ground = ground;
    }

    @Override
    public String name() {
        return "pools";
    }

    @Override
    public List<Family> families() {
        return PoolRecords.FAMILIES;
    }

    @Override
    public Resource resource() {
        return new PoolsResource(ground);
    }

    @Override
    public Joining joining() {
        return new HolderJoining(ground);
    }

    @Override
    public Reigning reigning(LeaderCore core, Records records) {
        return new WarmReign(ground, core, records).start();
    }
}
