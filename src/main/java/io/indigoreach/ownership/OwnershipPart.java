package io.indigoreach.ownership;

import com.dynatrace.hash4j.hashing.Hashing;
import io.indigoreach.api.Resource;
import io.indigoreach.api.SubmissionParticipant;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.ownership.ClaimCollector;
import io.indigoreach.core.ownership.Registry;
import io.indigoreach.core.records.GarbageCollector;
import io.indigoreach.core.records.RecordFamily;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.parts.Part;
import io.indigoreach.parts.Parts;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.RoutineRunner;
import java.util.List;

/** Who may bill which record: jobs' tasks and export runs, one at any time. */
public final class OwnershipPart implements Part {
    /** Of the state service's changes, all nodes together: what the leader and submissions leave. */
    private static final double WRITES = 0.4;
    /** Of the leader's budget, which gives no more than half at once to what can wait. */
    private static final double LEADERS = 0.3;
    /** A page that is divided takes three changes, and its claim one. */
    private static final int LEAST = 4;

    private static final int MOST = 12;

    private final Parts.Environment ground;
    private final Registry registry = registry();
    private final OwnershipService desk;
    private final RecordsField field;
    private final ClaimCollector tidy;

    public OwnershipPart(Parts.Environment ground) {
        this.ground = ground;
        int most = Math.max(LEAST, Math.min(MOST, ground.config().stateLimits().txnOps()));
        double perS = ground.config().stateLimits().writesPerS()
                * WRITES
                / (ground.config().peers().size() + 1);
        RoutineRunner within = ground.recordRoutines()
                .within(new RateLimiter(perS, 2 * most / perS, ground.clock().now()));
        this.desk = new OwnershipService(within, registry, most, ground.clock());
        this.field = new RecordsField(within, registry, most);
        this.tidy = new ClaimCollector(new ClaimCollector.Jobs(
                JobId::isValid, id -> RecordKeys.openKey(new JobId(id)), id -> RecordKeys.finalKey(new JobId(id))));
    }

    /** With the hash by which all records are found. */
    public static Registry registry() {
        return new Registry(Hashing.xxh3_64()::hashCharsToLong);
    }

    @Override
    public String name() {
        return "records";
    }

    @Override
    public List<RecordFamily> recordFamilies() {
        return Registry.FAMILIES;
    }

    @Override
    public Resource resource() {
        return desk;
    }

    @Override
    public SubmissionParticipant submissionParticipant() {
        return field;
    }

    @Override
    public GarbageCollector garbageCollector() {
        return tidy;
    }

    @Override
    public LeaderTask startLeaderTask(SchedulerCore core, RoutineRunner records) {
        int most = (int)
                Math.max(LEAST, Math.min(MOST, ground.config().stateLimits().writesPerS() * LEADERS));
        return new OwnershipGate(ground, core, records, registry, most).start();
    }
}
