package io.indigoreach.state;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobId;

/**
 * The keys of the records in the state service. Open jobs are under {@code j/}, jobs that are over under {@code f/}, so that
 * a new leader reads only what is open. A job moves from the first to the second in one transaction and never back, so
 * reading them in this order finds every accepted job.
 */
public final class RecordKeys {
    /** The leadership key. */
    public static final String LEADER = "leader";
    /** The counter of fencing tokens: {@link CounterRecord}. */
    public static final String COUNTER = "counter";
    /** The epoch of the stored data: {@link io.indigoreach.core.loss.LossDetector}. */
    public static final String ERA = "era";
    /** The machine types. */
    public static final String CATALOGUE = "catalogue";
    /** Prefix of open jobs. */
    public static final String OPEN_JOBS = "j/";
    /** Prefix of blocks with the completion bits of large jobs. */
    public static final String COMPLETION_BLOCKS = "p/";
    /** Prefix of pages of machines. */
    public static final String MACHINE_PAGES = "m/";
    /** Prefix of leaders' requests to the cloud in progress. */
    public static final String INTENTS = "i/";
    /** Prefix of jobs that are over: these records are never removed. */
    public static final String FINAL_JOBS = "f/";

    /** The key of an open job. */
    public static String openKey(JobId id) {
        return OPEN_JOBS + id.text();
    }

    /** The key of a job that is over. */
    public static String finalKey(JobId id) {
        return FINAL_JOBS + id.text();
    }

    /** The key of a machine page; it holds the leader's token and a counter, so that none is ever used twice. */
    public static String machinePageKey(FencingToken token, int number) {
        return machinePageKey(token, Integer.toString(number));
    }

    /** As {@link #machinePageKey(FencingToken, int)}, with the counter as text; empty for the prefix of a leader's pages. */
    public static String machinePageKey(FencingToken token, String number) {
        return MACHINE_PAGES + token + "-" + number;
    }

    /** The key of the requests to the cloud of the leader with this token. */
    public static String intentsKey(FencingToken token) {
        return INTENTS + token;
    }

    /** The key of a completion block. */
    public static String completionBlockKey(JobId id, int number) {
        return COMPLETION_BLOCKS + id.text() + "/" + number;
    }

    /**
     * The key whose revision guards a write of {@code key} besides that key's own: the open job's for what belongs to a
     * job, the leader's for what only a leader writes; null if there is none.
     */
    public static String guardKeyOf(String key) {
        if (key.startsWith(FINAL_JOBS)) {
            return OPEN_JOBS + key.substring(FINAL_JOBS.length());
        }
        if (key.startsWith(COMPLETION_BLOCKS) || key.startsWith(CompletionBits.SMALL_BLOCKS)) {
            return openKey(jobOfCompletionBlock(key));
        }
        return key.startsWith(MACHINE_PAGES) || key.startsWith(INTENTS) ? LEADER : null;
    }

    /** The job of an open job's key; throws {@link io.indigoreach.net.WireException} if it is none. */
    public static JobId jobOfOpenKey(String key) {
        return RecordReader.read(() -> new JobId(key.substring(OPEN_JOBS.length())));
    }

    /** The job of a key under {@link #FINAL_JOBS}; throws {@link io.indigoreach.net.WireException} if it is none. */
    public static JobId jobOfFinalKey(String key) {
        return RecordReader.read(() -> new JobId(key.substring(FINAL_JOBS.length())));
    }

    /** The job to which a completion block belongs; throws {@link io.indigoreach.net.WireException} if it is none. */
    public static JobId jobOfCompletionBlock(String key) {
        return RecordReader.read(() -> new JobId(key.substring(COMPLETION_BLOCKS.length(), key.lastIndexOf('/'))));
    }

    /** From where a listing is to begin for {@code key}, a job's, to be its first: ids are digits, which are below a tilde. */
    public static String keyBefore(String key) {
        int last = key.length() - 1;
        return key.substring(0, last) + (char) (key.charAt(last) - 1) + "~";
    }

    private RecordKeys() {}
}
