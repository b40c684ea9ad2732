package io.indigoreach.cluster;

import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.net.WireException;
import io.indigoreach.state.CompletionBits;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.MachineRecord;
import io.indigoreach.state.MachineRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Loads the records of jobs and machines at a failover and repairs unreadable job records. Bound to the node's event loop. */
final class JobLoader {
    private static final Logger LOG = LoggerFactory.getLogger(JobLoader.class);
    /** Time limit for repairing unreadable records; the leader continues without the records that remain. */
    private static final Span REPAIR_TIME_LIMIT = Span.seconds(2);

    private final JobStoreComponents jobs;
    private final NodeContext context;
    private final CompletionBlockStore completionBlocks;
    private final MachineStore machineStore;
    private final CancellationHorizon horizon;
    /**
     * Start of this term, since when no earlier leader has responded to workers. If leases were counted from the start of the
     * load instead, silent machines would delay the failover by the duration of a slow load, and again after each failed load.
     */
    private final Moment termStartedAt;

    JobLoader(
            JobStoreComponents jobs,
            CompletionBlockStore completionBlocks,
            MachineStore machineStore,
            CancellationHorizon horizon) {
        this.jobs = jobs;
        this.context = jobs.writes().context();
        this.completionBlocks = completionBlocks;
        this.machineStore = machineStore;
        this.horizon = horizon;
        this.termStartedAt = context.clock().now();
    }

    /** Loads all machines and open jobs, and returns the revision from which to watch the open jobs. */
    Future<Long> load() {
        jobs.openJobs().clear();
        completionBlocks.clear();
        return new Load().run();
    }

    /** The state of one load attempt; discarded if the attempt fails. */
    private final class Load {
        private final Map<JobId, BitSet> completedInBlocks = new HashMap<>();
        private final List<StateClient.Entry> unreadableRecords = new ArrayList<>();

        Future<Long> run() {
            // Blocks are read first, as a block written between the two listings would otherwise be newer than its job.
            return listAll(RecordKeys.COMPLETION_BLOCKS, this::readBlock)
                    .compose(revision -> listAll(CompletionBits.SMALL_BLOCKS, this::readBlock))
                    .compose(revision -> listAll(RecordKeys.MACHINE_PAGES, JobLoader.this::readMachines))
                    .compose(revision -> listOpenJobs())
                    .compose(revision -> repairUnreadable().map(revision))
                    .onSuccess(revision -> completionBlocks.onOpenJobsLoaded(openJobIds()));
        }

        private void readBlock(StateClient.Entry block) {
            RecordListing.readOrLog(block.key(), () -> {
                BitSet completedTasks = new BitSet();
                CompletionBits.readBlock(block.key(), block.value(), completedTasks);
                completedInBlocks
                        .computeIfAbsent(CompletionBits.jobOf(block.key()), id -> new BitSet())
                        .or(completedTasks);
                completionBlocks.addInheritedBlock(block.key(), completedTasks);
            });
        }

        private Future<Long> listOpenJobs() {
            // The listing does not contain jobs that were cancelled before the request.
            Moment requestedAt = context.clock().now();
            return listAll(RecordKeys.OPEN_JOBS, this::readOpenJob)
                    .onSuccess(revision -> horizon.advanceTo(requestedAt));
        }

        private void readOpenJob(StateClient.Entry entry) {
            if (!RecordListing.readOrLog(entry.key(), () -> addJob(RecordKeys.jobOfOpenKey(entry.key()), entry))) {
                unreadableRecords.add(entry);
            }
        }

        private void addJob(JobId id, StateClient.Entry entry) {
            jobs.openJobs()
                    .addInherited(JobRecordCodec.readJob(id, entry.value(), entry.revision()), completedInBlocks);
        }

        private Future<Void> repairUnreadable() {
            return repairNext(
                    unreadableRecords.iterator(), context.clock().now().plus(REPAIR_TIME_LIMIT));
        }

        /**
         * Repairs unreadable job records from the memory of other controllers before any command can stop tasks of these jobs.
         * The time is limited because all other jobs wait. A user request for an unreadable job also triggers its repair.
         */
        private Future<Void> repairNext(Iterator<StateClient.Entry> entries, Moment deadline) {
            if (!entries.hasNext() || jobs.writer().isCancelled()) {
                return Future.succeededFuture();
            }
            StateClient.Entry entry = entries.next();
            if (!JobId.isValid(entry.key().substring(RecordKeys.OPEN_JOBS.length()))) {
                return repairNext(entries, deadline);
            }
            return repairBeforeDeadline(entry, deadline)
                    .recover(failure -> {
                        LOG.error("job not served key={} cause={}", entry.key(), failure.getMessage());
                        return Future.succeededFuture();
                    })
                    .compose(done -> repairNext(entries, deadline));
        }

        private Future<Void> repairBeforeDeadline(StateClient.Entry entry, Moment deadline) {
            JobId id = RecordKeys.jobOfOpenKey(entry.key());
            jobs.openJobs().markUnreadable(id);
            if (!context.clock().now().isBefore(deadline)) {
                return Future.failedFuture(
                        new WireException("repairing unreadable job records took longer than the time limit"));
            }
            return context.repairer()
                    .repairOpen(id, entry, null)
                    .compose(done -> context.state().get(entry.key()))
                    .map(repaired -> {
                        if (repaired != null) {
                            addJob(id, repaired);
                        }
                        jobs.openJobs().markReadable(id);
                        return null;
                    });
        }
    }

    private void readMachines(StateClient.Entry page) {
        List<MachineRecord> machines = MachineRecordCodec.readMachines(page.value());
        machineStore.addInheritedPage(page.key(), page.revision(), machines);
        for (MachineRecord machine : machines) {
            // Another node wrote this time, and its clock may deviate in the opposite direction to this node's clock.
            Moment knownToExistAt = context.toSteadyTime(machine.knownToExistMs())
                    .plus(context.config().maxClockError().times(2));
            jobs.core()
                    .inheritMachine(
                            machine.id(),
                            machine.pool(),
                            context.toSteadyTime(machine.rentedMs()),
                            knownToExistAt,
                            termStartedAt);
        }
    }

    private Set<JobId> openJobIds() {
        return jobs.core().jobs().stream().map(Job::id).collect(Collectors.toSet());
    }

    private Future<Long> listAll(String prefix, Consumer<StateClient.Entry> consumer) {
        return RecordListing.readAll(context.state(), jobs.writes().leadershipRevision(), prefix, consumer);
    }
}
