package io.indigoreach.warm;

import io.indigoreach.api.Resource;
import io.indigoreach.api.SubmissionParticipant;
import io.indigoreach.core.records.RecordFamily;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.parts.Part;
import io.indigoreach.parts.Parts;
import io.indigoreach.state.RoutineRunner;
import java.util.List;

/** Machines that hold weights ahead of a burst: how many, for which models, and who pays. */
public final class WarmPart implements Part {
    private final Parts.Environment ground;

    public WarmPart(Parts.Environment ground) {
        this.ground = ground;
    }

    @Override
    public String name() {
        return "pools";
    }

    @Override
    public List<RecordFamily> recordFamilies() {
        return PoolRecords.FAMILIES;
    }

    @Override
    public Resource resource() {
        return new PoolsResource(ground);
    }

    @Override
    public SubmissionParticipant submissionParticipant() {
        return new HolderJoining(ground);
    }

    @Override
    public LeaderTask startLeaderTask(SchedulerCore core, RoutineRunner records) {
        return new WarmPoolTerm(ground, core, records).start();
    }
}
