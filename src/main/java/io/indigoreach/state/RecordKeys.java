package io.indigoreach.state;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobId;

/**
 * The keys of the records in the state service. Open jobs are under {@code j/} and finished jobs under {@code f/}, so that a new
 * leader reads only the open ones. A job moves from the first prefix to the second in one transaction and never back, so a
 * reader that reads the prefixes in this order finds every accepted job.
 */
public final class RecordKeys {
    /** The leadership key. */
    public static final String LEADER = "leader";
    /** The token counter: {@link CounterRecord}. */
    public static final String COUNTER = "counter";
    /** The epoch of the stored data: {@link io.indigoreach.core.loss.LossDetector}. */
    public static final String ERA = "era";
    /** The catalogue of machine types. */
    public static final String CATALOGUE = "catalogue";
    /** Prefix of open jobs. */
    public static final String OPEN_JOBS = "j/";
    /** Prefix of blocks with the completion bits of large jobs. */
    public static final String COMPLETION_BLOCKS = "p/";
    /** Prefix of pages of machines. */
    public static final String MACHINE_PAGES = "m/";
    /** Prefix of the leaders' requests to the cloud that are in progress. */
    public static final String INTENTS = "i/";
    /** Prefix of finished jobs, whose records are never deleted. */
    public static final String FINAL_JOBS = "f/";

    /** The key of an open job. */
    public static String openKey(JobId id) {
        return OPEN_JOBS + id.text();
    }

    /** The key of a finished job. */
    public static String finalKey(JobId id) {
        return FINAL_JOBS + id.text();
    }

    /** The key of a machine page. It contains the leader's token and a counter, so that no key is used twice. */
    public static String machinePageKey(FencingToken token, int number) {
        return machinePageKey(token, Integer.toString(number));
    }

    /** Like {@link #machinePageKey(FencingToken, int)}, with the counter as text; empty for the prefix of a leader's pages. */
    public static String machinePageKey(FencingToken token, String number) {
        return MACHINE_PAGES + token + "-" + number;
    }

    /** The key of the cloud requests in progress of the leader with this token. */
    public static String intentsKey(FencingToken token) {
        return INTENTS + token;
    }

    /** The key of a completion block. */
    public static String completionBlockKey(JobId id, int number) {
        return COMPLETION_BLOCKS + id.text() + "/" + number;
    }

    /**
     * The second key whose revision a write of {@code key} depends on: the open job's key for records that belong to a job, the
     * leadership key for records that only a leader writes; null if there is none.
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

    /** The job of a key under {@link #OPEN_JOBS}; throws {@link io.indigoreach.net.WireException} if it is malformed. */
    public static JobId jobOfOpenKey(String key) {
        return RecordReader.read(() -> new JobId(key.substring(OPEN_JOBS.length())));
    }

    /** The job of a key under {@link #FINAL_JOBS}; throws {@link io.indigoreach.net.WireException} if it is malformed. */
    public static JobId jobOfFinalKey(String key) {
        return RecordReader.read(() -> new JobId(key.substring(FINAL_JOBS.length())));
    }

    /** The job of a completion block's key; throws {@link io.indigoreach.net.WireException} if it is malformed. */
    public static JobId jobOfCompletionBlock(String key) {
        return RecordReader.read(() -> new JobId(key.substring(COMPLETION_BLOCKS.length(), key.lastIndexOf('/'))));
    }

    /**
     * A key just before {@code key}, so that a listing that starts after it includes {@code key}. Works for keys of jobs, which
     * end in a digit: digits sort before a tilde.
     */
    public static String keyBefore(String key) {
        int last = key.length() - 1;
        return key.substring(0, last) + (char) (key.charAt(last) - 1) + "~";
    }

    private RecordKeys() {}
}
