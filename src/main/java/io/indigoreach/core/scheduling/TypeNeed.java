package io.indigoreach.core.scheduling;

/** Machines of one type that a queue needs, divided by the kinds of machines that its jobs accept. */
final class TypeNeed {
    /** The first job in the queue that may use spot machines, or null. */
    Job firstSpot;
    /** The first job in the queue that may use only on-demand machines, or null. */
    Job firstOnDemand;
    /** Machines of any kind that are needed. */
    double machines;
    /** The part of {@link #machines} for jobs that do not wait for spot capacity. */
    double onDemand;
    /** The part of {@link #onDemand} for jobs that may not use spot machines. */
    double onDemandOnly;
    /** The part of {@link #machines} for the top short job. */
    double topShort;
    /** Whether the top short job does not wait for spot capacity; the short jobs behind it then do not wait either. */
    boolean shortOnDemand;

    void add(Job job, double more, boolean mayUseOnDemand) {
        machines += more;
        onDemand += mayUseOnDemand ? more : 0;
        if (job.spec.spotAllowed()) {
            firstSpot = firstSpot == null ? job : firstSpot;
        } else {
            firstOnDemand = firstOnDemand == null ? job : firstOnDemand;
            onDemandOnly += more;
        }
    }

    void addShort(double more, boolean mayUseOnDemand) {
        topShort = more;
        shortOnDemand |= mayUseOnDemand;
    }

    /**
     * Adds the need of a job whose pools have all refused requests; it does not determine the zones of the requests.
     */
    void addRefused(double more, boolean mayUseOnDemand) {
        onDemand += mayUseOnDemand ? more : 0;
    }

    /** Adds machines for the short jobs behind the top short job. */
    void addShortBacklog(double more) {
        machines += more;
        onDemand += shortOnDemand ? more : 0;
    }
}
