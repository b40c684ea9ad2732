package io.indigoreach.cluster;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Revision;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.Map;

/**
 * Paths and small messages of the requests between controllers. {@link PeerServer} answers them, {@link PeerClient} sends them.
 * Pledges are encoded by {@link PeerPromises}, remembered state by {@link io.indigoreach.state.RememberedStateCodec}. Nodes of two versions serve
 * together during an upgrade, so the texts here may not change.
 */
final class PeerProtocol {
    /** GET: whether the state service answers the node, and whether it leads. */
    static final String STATUS_PATH = "/standing";
    /** POST: remove the key of a leader that has stepped aside. */
    static final String HANDOVER_PATH = "/handover";
    /** POST: the state service has lost data. */
    static final String LOSS_PATH = "/loss";
    /** GET: everything that the node remembers, part by part. */
    static final String REMEMBERED_STATE_PATH = "/remains";
    /** POST: a pledge not to lead for a while. */
    static final String PLEDGE_PATH = "/pledge";
    /** GET: whether the node knows a job. */
    static final String JOB_KNOWN_PATH = "/knows";
    /** GET: what the node remembers of a job. */
    static final String REMEMBERED_JOB_PATH = "/recall";

    static final String PART_PARAMETER = "part";
    static final String JOB_PARAMETER = "id";

    private static final String SERVED = "served";
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

    static Map<String, Object> writeStatus(boolean served, boolean leads) {
        return MessagePackFormat.map(SERVED, served, LEADS, leads);
    }

    static boolean readServed(Fields status) {
        return status.flag(SERVED, false);
    }

    /** {@code ifAbsent}: the value for a status without this field. */
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

    /** The era in which data were lost. */
    static long readLoss(Fields request) {
        return request.wholeNumber(ERA);
    }

    static Map<String, Object> writeHandover(Revision leadershipRevision) {
        return MessagePackFormat.map(LEADERSHIP_REVISION, leadershipRevision.value());
    }

    static Revision readHandover(Fields request) {
        return new Revision(request.wholeNumber(LEADERSHIP_REVISION));
    }
}
