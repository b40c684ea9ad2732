package io.indigoreach.ownership;

import com.dynatrace.hash4j.hashing.Hashing;
import io.indigoreach.api.Joining;
import io.indigoreach.api.Resource;
import io.indigoreach.core.JobId;
import io.indigoreach.core.LeaderCore;
import io.indigoreach.core.ownership.Registry;
import io.indigoreach.core.ownership.Tidy;
import io.indigoreach.core.records.Family;
import io.indigoreach.core.records.Sweep;
import io.indigoreach.net.Budget;
import io.indigoreach.parts.Part;
import io.indigoreach.parts.Parts;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.Records;
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

    private final Parts.Ground ground;
    private final Registry registry = registry();
    private final OwnershipService desk;
    private final RecordsField field;
    private final Tidy tidy;

    public OwnershipPart(Parts.Ground ground) {
        this.ground = ground;
        int most = Math.max(LEAST, Math.min(MOST, ground.config().stateLimits().txnOps()));
        double perS = ground.config().stateLimits().writesPerS()
                * WRITES
                / (ground.config().peers().size() + 1);
        Records within = ground.records()
                .within(new Budget(perS, 2 * most / perS, ground.clock().now()));
        this.desk = new OwnershipService(within, registry, most, ground.clock());
        this.field = new RecordsField(within, registry, most);
        this.tidy = new Tidy(new Tidy.Jobs(
                JobId::isValid, id -> RecordCodec.open(new JobId(id)), id -> RecordCodec.over(new JobId(id))));
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
    public List<Family> families() {
        return Registry.FAMILIES;
    }

    @Override
    public Resource resource() {
        return desk;
    }

    @Override
    public Joining joining() {
        return field;
    }

    @Override
    public Sweep sweep() {
        return tidy;
    }

    @Override
    public Reigning reigning(LeaderCore core, Records records) {
        int most = (int)
                Math.max(LEAST, Math.min(MOST, ground.config().stateLimits().writesPerS() * LEADERS));
        return new Withholding(ground, core, records, registry, most).start();
    }
}
