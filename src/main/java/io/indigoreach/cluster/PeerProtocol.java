package io.indigoreach.cluster;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Revision;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.Map;

/**
 * Paths and small messages of the requests between controllers. {@link PeerClient} sends the requests, {@link
 * PeerServer} responds. {@link PledgeResponse} encodes pledges, and {@link io.indigoreach.state.RememberedStateCodec}
 * encodes remembered state. Nodes of two versions run side by side during an upgrade, so the strings here must not
 * change.
 */
final class PeerProtocol {
    /** GET: whether the node can reach the state service, and whether it leads. */
    static final String STATUS_PATH = "/standing";
    /** POST: removes the leadership key of a leader that has resigned. */
    static final String HANDOVER_PATH = "/handover";
    /** POST: reports that the state service has lost data. */
    static final String LOSS_PATH = "/loss";
    /** GET: the node's copies of all records, one part per request. */
    static final String REMEMBERED_STATE_PATH = "/remains";
    /** POST: requests a pledge not to lead for a limited time. */
    static final String PLEDGE_PATH = "/pledge";
    /** GET: whether the node knows a job. */
    static final String JOB_KNOWN_PATH = "/knows";
    /** GET: the node's copy of one job's state. */
    static final String REMEMBERED_JOB_PATH = "/recall";

    static final String PART_PARAMETER = "part";
    static final String JOB_PARAMETER = "id";

    private static final String STATE_REACHABLE = "served";
    private static final String LEADS = "leads";
    private static final String KNOWN = "known";
    private static final String ERA = "era";
    private static final String LEADERSHIP_REVISION = "stamp";

    private PeerProtocol() {}

    static String rememberedStatePath(int part) {
        return REMEMBERED_STATE_PATH + "?" + PART_PARAMETER + "=" + part;
    }

    static String rememberedJobPath(JobId id) {
        return REMEMBERED_JOB_PATH + "?" + JOB_PARAMETER + "=" + id.text();
    }

    static String jobKnownPath(JobId id) {
        return JOB_KNOWN_PATH + "?" + JOB_PARAMETER + "=" + id.text();
    }

    static Map<String, Object> writeEmpty() {
        return Map.of();
    }

    static Map<String, Object> writeStatus(boolean stateReachable, boolean leads) {
        return MessagePackFormat.map(STATE_REACHABLE, stateReachable, LEADS, leads);
    }

    static boolean readStateReachable(Fields status) {
        return status.flag(STATE_REACHABLE, false);
    }

    /** @param ifAbsent the value for a status without this field */
    static boolean readLeads(Fields status, boolean ifAbsent) {
        return status.flag(LEADS, ifAbsent);
    }

    static Map<String, Object> writeJobKnown(boolean known) {
        return MessagePackFormat.map(KNOWN, known);
    }

    static boolean readJobKnown(Fields response) {
        return response.flag(KNOWN, false);
    }

    static Map<String, Object> writeLoss(long era) {
        return MessagePackFormat.map(ERA, era);
    }

    /** Decodes the era in which the state service lost data. */
    static long readLossEra(Fields request) {
        return request.wholeNumber(ERA);
    }

    static Map<String, Object> writeHandover(Revision leadershipRevision) {
        return MessagePackFormat.map(LEADERSHIP_REVISION, leadershipRevision.value());
    }

    static Revision readHandover(Fields request) {
        return new Revision(request.wholeNumber(LEADERSHIP_REVISION));
    }
}
