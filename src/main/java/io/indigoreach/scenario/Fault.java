package io.indigoreach.scenario;

import io.indigoreach.config.PlatformConfig.StateLimits;

/** Something that goes wrong for a while. Parties are {@code node-0}…, {@code state}, {@code cloud}, {@code workers}, {@code users}. */
public record Fault(
        @Setting("what goes wrong") Kind kind,
        @Setting(value = "when, s from the start") double atS,
        @Setting(value = "for how long, s", standard = "0") double forS,

        @Setting(value = "who calls; empty: anyone", standard = "")
        String from,

        @Setting(value = "who is called; empty: anyone", standard = "")
        String to,

        @Setting(value = "share of the messages or machines hit", standard = "1", most = 1)
        double share,

        @Setting(value = "refuse: the status", standard = "503", least = 400, most = 599)
        int status,

        @Setting(
                value = "slow, late, repeat: by how much, s; kill_leaders: how long each leads, s",
                standard = "1",
                most = 600)
        double delayS,

        @Setting(value = "stale, roll_back: how many revisions", standard = "3", least = 1, most = 10_000)
        int behind,

        @Setting(value = "only requests that change something", standard = "false")
        boolean writes,

        @Setting(value = "take: notice, s; 0: none", standard = "0")
        double noticeS,

        @Setting(value = "state_limits: the largest value, KiB; 0: as before", standard = "0", most = 64)
        double valueKb,

        @Setting(value = "state_limits: changes in a transaction; 0: as before", standard = "0", most = 1000)
        int txnOps,

        @Setting(value = "state_limits: changes a second; 0: as before", standard = "0")
        double writeRps) {

    /** The kinds of faults. */
    public enum Kind {
        /** Answers take {@code delay_s} longer, give or take half. */
        SLOW,
        /** Refused with {@code status}, not executed. */
        REFUSE,
        /** Neither executed nor answered. */
        LOSE_REQUEST,
        /** Executed, but not answered. */
        LOSE_ANSWER,
        /** Not answered, and executed {@code delay_s} later. */
        LATE,
        /** Executed and answered, and executed once more {@code delay_s} later. */
        REPEAT,
        /** Reads answer with what was there some revisions ago. */
        STALE,
        /** Packets are held back and delivered when it is over. */
        HOLD,
        /** Connections are refused, and those that are open are reset. */
        CLOSED,
        /** Connections are reset when something is sent. */
        RESET,
        /** The state service (or the cloud, by {@code to}) is down for everyone. */
        OUTAGE,
        /** The state service loses a {@code share} of the keys that begin with {@code to}; "" is all. */
        LOSE_KEYS,
        /** The state service's contents of {@code behind} revisions ago come back. */
        ROLL_BACK,
        /** A controller, named by {@code to}, is killed; it comes back after {@code for_s}. */
        KILL,
        /** A controller, named by {@code to}, is stopped for a while and goes on as if nothing had been. */
        PAUSE,
        /** Machines are taken back, with {@code notice_s} or without notice. */
        TAKE,
        /** Machines stop by themselves. */
        DIE,
        /** Machines hang and go on when it is over. */
        HANG,
        /** Machines' reports arrive, answers don't reach them. */
        DEAFEN,
        /** Machines fail every task that they start. */
        SPOIL,
        /** Machines asked for meanwhile never come up. */
        NO_BOOT,
        /** The state service's limits shrink, for good; the controllers' settings announce it. */
        STATE_LIMITS,
        /** Every controller that takes the leadership is killed about {@code delay_s} later, and comes back after a second. */
        KILL_LEADERS;

        boolean isOnMessages() {
            return ordinal() <= RESET.ordinal();
        }
    }

    public Fault {
        if ((kind == Kind.KILL || kind == Kind.PAUSE) && !to.startsWith("node-")) {
            throw new IllegalArgumentException("to: names the controller, such as node-0");
        }
        if (kind == Kind.OUTAGE && !to.equals("state") && !to.equals("cloud")) {
            throw new IllegalArgumentException("to: an outage is of state or cloud");
        }
    }

    /** The state service's limits after it. */
    public StateLimits after(StateLimits before) {
        if (kind != Kind.STATE_LIMITS) {
            return before;
        }
        return before.minimum(new StateLimits(
                before.requestsPerS(),
                writeRps > 0 ? writeRps : before.writesPerS(),
                valueKb > 0 ? (int) (valueKb * 1024) : before.valueBytes(),
                txnOps > 0 ? txnOps : before.txnOps()));
    }

    public double endsS() {
        return atS + forS;
    }

    /** Whether it hits messages, by chance; other faults happen to a party or to machines. */
    public boolean isOnMessages() {
        return kind.isOnMessages();
    }
}
