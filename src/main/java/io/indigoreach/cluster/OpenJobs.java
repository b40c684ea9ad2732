package io.indigoreach.cluster;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.state.JobRecord;
import java.util.BitSet;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The open jobs of this leadership term: adds those whose records were read to the scheduler core, and removes cancelled ones. Bound
 * to the node's event loop.
 */
final class OpenJobs {
    private static final Logger LOG = LoggerFactory.getLogger(OpenJobs.class);

    private final NodeContext context;
    private final SchedulerCore core;
    private final JobRecordWriter writer;
    private final FinishedJobs finishedJobs;
    private final boolean startBoundsTrusted;
    /** Open jobs that are not scheduled, as their records could be neither decoded nor repaired. */
    private final Set<JobId> unreadableJobs = new HashSet<>();

    /** @param startBoundsTrusted every leader so far has respected the jobs' start bounds */
    OpenJobs(
            NodeContext context,
            SchedulerCore core,
            JobRecordWriter writer,
            FinishedJobs finishedJobs,
            boolean startBoundsTrusted) {
        this.context = context;
        this.core = core;
        this.writer = writer;
        this.finishedJobs = finishedJobs;
        this.startBoundsTrusted = startBoundsTrusted;
    }

    /** Forgets the jobs of an earlier load that failed: the watch would not report those that were cancelled since. */
    void clear() {
        core.forgetJobs();
        writer.clear();
    }

    /** Adds a job that this leader has not scheduled before, with the completion bits of its blocks. */
    void addInherited(JobRecord record, Map<JobId, BitSet> completedInBlocks) {
        add(record, completedInBlocks.getOrDefault(record.id(), new BitSet()), true);
    }

    /**
     * Adds a job whose record the watch reported. A job whose record could not be read until now counts as an earlier leader's, as
     * its tasks may run on any machine.
     */
    void addFromWatch(JobRecord record) {
        add(record, new BitSet(), unreadableJobs.contains(record.id()));
    }

    private void add(JobRecord record, BitSet completedInBlocks, boolean inherited) {
        BitSet completedTasks = (BitSet) completedInBlocks.clone();
        completedTasks.or(record.done());
        // An earlier leader may have run a version that started tasks without raising their start bounds.
        int startBound = inherited && !startBoundsTrusted ? record.spec().taskCount() : record.startBound();
        Job job = new Job(
                record.spec(),
                record.submittedMs(),
                context.toSteadyTime(record.submittedMs()),
                record.revision(),
                completedTasks,
                startBound,
                inherited);
        core.addJob(job);
        writer.onJobAdded(job, record.status());
    }

    void markUnreadable(JobId id) {
        unreadableJobs.add(id);
    }

    void markReadable(JobId id) {
        unreadableJobs.remove(id);
    }

    /** The job's user has cancelled it, according to its record or to another node. Nothing reverts that. */
    void onCancelled(JobId id) {
        Job job = core.job(id);
        if (job != null) {
            LOG.info("job cancelled job={}", id);
            core.cancelJob(id);
            writer.onJobFinished(job);
        } else {
            // The watch may report the acceptance only now. It would open the job, and during an outage the final
            // record
            // could not be read.
            finishedJobs.addCancelled(id);
        }
    }
}
