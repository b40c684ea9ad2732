package io.indigoreach.emulator.model;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.emulator.model.Verdict.Fate;
import io.indigoreach.scenario.Fault;
import java.util.List;
import java.util.random.RandomGenerator;

/** Decides by the timeline of faults what becomes of each message between two parties. Any thread may ask. */
public final class Gate {
    private final List<Fault> faults;
    private final RandomGenerator random;
    private final Moment start;

    /** Times in {@code faults} count from {@code start}. */
    public Gate(List<Fault> faults, RandomGenerator random, Moment start) {
        this.faults = faults.stream()
                .filter(f -> f.isOnMessages() || f.kind() == Fault.Kind.OUTAGE)
                .toList();
        this.random = random;
        this.start = start;
    }

    /** Slowness and age of reads add up; of other faults the first of the timeline counts. */
    public synchronized Verdict judge(Moment now, String from, String to, boolean writes) {
        Span delay = Span.ZERO;
        int behind = 0;
        for (Fault f : faults) {
            if (!isOn(f, now)
                    || !names(f.from(), from)
                    || !names(f.to(), to)
                    || (f.writes() && !writes)
                    || (f.share() < 1 && random.nextDouble() >= f.share())) {
                continue;
            }
            Span by = Span.seconds(f.delayS());
            switch (f.kind()) {
                case SLOW -> delay = delay.plus(by.times(0.5 + random.nextDouble()));
                case STALE -> behind = Math.max(behind, f.behind());
                case CLOSED -> {
                    return new Verdict(Fate.RESET, delay, Moment.NEVER, 0, 0);
                }
                case OUTAGE -> {
                    return new Verdict(Fate.REFUSE, delay, Moment.NEVER, 503, 0);
                }
                default -> {
                    return new Verdict(Fate.valueOf(f.kind().name()), by, at(f.endsS()), f.status(), behind);
                }
            }
        }
        return new Verdict(Fate.PASS, delay, Moment.NEVER, 0, behind);
    }

    /**
     * Until when a watch that is open between the two stays unanswered: an outage or a refusal holds it. Not after
     * {@code now} if nothing holds it.
     */
    public Moment heldUntil(Moment now, String from, String to) {
        Moment until = now;
        for (Fault f : faults) {
            boolean holds = f.kind() == Fault.Kind.OUTAGE
                    || f.kind() == Fault.Kind.HOLD
                    || (f.kind() == Fault.Kind.REFUSE && f.share() >= 1 && !f.writes());
            if (holds
                    && isOn(f, now)
                    && names(f.from(), from)
                    && names(f.to(), to)
                    && at(f.endsS()).isAfter(until)) {
                until = at(f.endsS());
            }
        }
        return until;
    }

    /** A time in which the one called refuses connections. */
    public record Closing(Moment from, Moment until) {}

    /** When {@code to} refuses the connections of {@code from}. */
    public List<Closing> closings(String from, String to) {
        return faults.stream()
                .filter(f -> f.kind() == Fault.Kind.CLOSED && names(f.from(), from) && names(f.to(), to))
                .map(f -> new Closing(at(f.atS()), at(f.endsS())))
                .toList();
    }

    private boolean isOn(Fault f, Moment now) {
        return !now.isBefore(at(f.atS())) && now.isBefore(at(f.endsS()));
    }

    private Moment at(double s) {
        return start.plus(Span.seconds(s));
    }

    private static boolean names(String wanted, String party) {
        return wanted.isEmpty() || wanted.equals(party);
    }
}
