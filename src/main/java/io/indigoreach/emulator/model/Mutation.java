package io.indigoreach.emulator.model;

import io.indigoreach.state.StateClient.Write;
import java.util.List;

/**
 * One change of the state service's contents, as it is kept on disk and taken on again after a restart.
 *
 * @param revision the service's revision after it
 * @param writes the keys written and deleted, each of them changed by this very mutation
 * @param lease the lease that was granted or has ended, or 0
 * @param lifeMs the length of a granted lease, or 0 if {@code lease} has ended
 * @param stamp the version of the keys written, or 0 if it is the revision (it is not in a copy of the contents)
 */
public record Mutation(long revision, List<Write> writes, long lease, long lifeMs, long stamp) {
    /** The version that the keys written have by this. */
    long version() {
        return stamp == 0 ? revision : stamp;
    }
}
