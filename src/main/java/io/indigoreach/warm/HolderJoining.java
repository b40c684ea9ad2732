package io.indigoreach.warm;

import io.indigoreach.api.RequestRejectedException;
import io.indigoreach.api.SubmissionParticipant;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.core.records.VersionedRecord;
import io.indigoreach.core.warm.PoolSpec;
import io.indigoreach.net.Fields;
import io.indigoreach.parts.Parts;
import io.vertx.core.Future;

/** A pool's holder: a service of its payer whose tasks take next to nothing and make machines fetch the pool's image. */
final class HolderJoining implements SubmissionParticipant {
    private static final double MOST_CORES = 0.1;
    private static final double MOST_RAM_GB = 1;

    private final Parts.Environment ground;

    HolderJoining(Parts.Environment ground) {
        this.ground = ground;
    }

    @Override
    public String field() {
        return JobSpec.WARM;
    }

    @Override
    public void check(JobSpec spec) {
        if (!(spec.more().get(JobSpec.WARM) instanceof String name) || !PoolSpec.isName(name)) {
            throw Fields.invalid(JobSpec.WARM);
        }
    }

    /** Accepted only beside the pool as it was read. */
    @Override
    public Future<Transaction> accepting(JobSpec spec) {
        String name = (String) spec.more().get(JobSpec.WARM);
        return ground.recordRoutines()
                .run(PoolRoutines.read(PoolRecords.POOLS + name))
                .map(kept -> {
                    refuse(spec, name, kept);
                    return new Transaction().when(kept);
                });
    }

    private static void refuse(JobSpec spec, String name, VersionedRecord kept) {
        if (!kept.exists()) {
            throw RequestRejectedException.of(JobSpec.WARM, "there is no pool " + name);
        }
        PoolSpec pool = PoolCodec.read(name, new Fields(kept.value()));
        check(spec.isService(), "shape", "a holder is a service");
        check(spec.team().equals(pool.team()), JobSpec.WARM, "pool " + name + " is paid for by team " + pool.team());
        check(
                spec.image().equals(pool.image()) && spec.imageGb() == pool.gb(),
                JobSpec.WARM,
                "pool " + name + " holds image " + pool.image() + " of " + pool.gb() + " GB");
        check(spec.demand().cores() <= MOST_CORES, "cores", "a holder takes at most " + MOST_CORES);
        check(spec.demand().gpus() == 0, "gpus", "a holder takes none");
        check(spec.demand().ramGb() <= MOST_RAM_GB, "ram_gb", "a holder takes at most " + MOST_RAM_GB);
        check(!spec.oneZone(), "one_zone", "the pool says how its machines are spread");
        check(!spec.spread(), "spread", "the pool says how its machines are spread");
        check(
                spec.spotAllowed() || !pool.spot(),
                JobSpec.WARM,
                "pool " + name + " is on spot machines, which this job refuses");
        check(
                spec.zone() == null && (spec.types() == null || spec.types().containsAll(pool.types())),
                JobSpec.WARM,
                "the job must allow every type and zone of pool " + name);
    }

    private static void check(boolean holds, String field, String reason) {
        if (!holds) {
            throw RequestRejectedException.of(field, reason);
        }
    }
}
