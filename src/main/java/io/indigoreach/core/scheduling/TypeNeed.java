package io.indigoreach.core.scheduling;

/** How many machines of one type a queue needs, by what its jobs accept. */
final class TypeNeed {
    /** The first job in the queue that may use spot machines, and the first that may not; null if there is none. */
    Job firstSpot;

    Job firstOnDemand;
    double machines;
    /** Of the machines, those for jobs that do not wait for spot capacity. */
    double onDemand;
    /** Of these, those for jobs that may not use spot machines. */
    double onDemandOnly;
    /** Of the machines, those for the top short job. */
    double topShort;
    /** The top short job does not wait for spot capacity, nor then do those behind it. */
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

    /** The need of a job whose pools have all just refused: it does not say in which zones machines are requested. */
    void addRefused(double more, boolean mayUseOnDemand) {
        onDemand += mayUseOnDemand ? more : 0;
    }

    /** Machines for the short jobs behind the top one. */
    void addShortBacklog(double more) {
        machines += more;
        onDemand += shortOnDemand ? more : 0;
    }
}
