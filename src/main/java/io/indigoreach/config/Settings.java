package io.indigoreach.config;

import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.SafetyTimes;
import io.indigoreach.core.scheduling.SchedulerSettings;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** The operators' settings, each with a unit, a default, a range and a description. */
public final class Settings {
    /** A setting. Its name in the file is the constant's name in lower case. */
    public enum Setting {
        WAIT_LIMIT_S(10, 0, 3600, "s", "predicted wait of a queue's top job above which machines are rented"),
        SHORT_JOB_S(15, 0, 86400, "s", "estimated run time below which a job counts as short when renting"),
        LEAST_PAID_S(60, 1, 86400, "s", "what a machine costs at least; no machine is returned idle before"),
        TERM_S(15, 1, 86400, "s", "paid terms after that; idle machines are returned at the end of one"),
        CHECK_S(2, 0.5, 600, "s", "period of the check that rents and returns machines"),
        BOOT_PATIENCE(2, 1, 100, "boot times", "a machine not up after this long is no longer counted on"),
        BOOT_LIMIT(4, 1, 100, "boot times", "a machine not up after this long is returned"),
        SPOT_PATIENCE_S(
                600, 0, 3600, "s", "how long a job waits for spot capacity before ordinary machines are rented"),
        URGENT_SPOT_PATIENCE_S(15, 0, 3600, "s", "the same for jobs of urgency high or production"),
        BACKLOG_LIMIT_S(350, 1, 86400, "s", "a queue that takes longer to drain gets ordinary machines too"),
        AIM_SHARE(
                1.4,
                0,
                10,
                "of the time left until an aim",
                "a queue that does not fit into this part gets ordinary machines too"),
        REFUSED_FOR_S(10, 0, 3600, "s", "how long a pool without capacity is not asked again"),
        LEADER_LEASE_S(4.5, 1, 120, "s", "length of the leader's lease in the state service"),
        LIST_EVERY_S(3, 0.5, 600, "s", "period of reading the cloud's list of machines"),
        CALENDAR(0, 0, 1, "", "1: plans of the deadline calendar are started, and people may set it"),
        RECORD_OWNERSHIP(
                0, 0, 1, "off or on", "keeps which job or export run may bill a record; the same at all nodes"),
        WARM_POOLS(0, 0, 1, "1 or 0", "whether teams may keep machines that hold an image ahead of its replicas");

        final double defaultValue;
        final double minimum;
        final double maximum;
        final String unit;
        final String description;

        Setting(double defaultValue, double minimum, double maximum, String unit, String description) {
            this.defaultValue = defaultValue;
            this.minimum = minimum;
            this.maximum = maximum;
            this.unit = unit;
            this.description = description;
        }

        /** Returns the setting's name in the file. */
        public String fieldName() {
            return name().toLowerCase(Locale.ROOT);
        }

        /** Returns a line of help text. */
        public String help() {
            return String.format(
                    Locale.ROOT,
                    "%-22s %s%s (default %s, %s to %s)",
                    fieldName(),
                    description,
                    unit.isEmpty() ? "" : ", in " + unit,
                    format(defaultValue),
                    format(minimum),
                    format(maximum));
        }

        private static String format(double value) {
            return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
        }
    }

    private final Map<Setting, Double> values = new EnumMap<>(Setting.class);

    /** Returns settings that all have their default values. */
    public static Settings defaults() {
        Settings settings = new Settings();
        for (Setting setting : Setting.values()) {
            settings.values.put(setting, setting.defaultValue);
        }
        return settings;
    }

    /** Sets a value; throws {@link ConfigException} if it is out of range. */
    void set(Setting setting, double value) throws ConfigException {
        if (!(value >= setting.minimum && value <= setting.maximum)) {
            throw new ConfigException(setting.fieldName() + ": must be from " + Setting.format(setting.minimum) + " to "
                    + Setting.format(setting.maximum) + " " + setting.unit);
        }
        values.put(setting, value);
    }

    /** Returns a value in the unit of its setting. */
    public double get(Setting setting) {
        return values.get(setting);
    }

    /** Returns the value of a setting whose unit is seconds. */
    public Span span(Setting setting) {
        return Span.seconds(get(setting));
    }

    /** Returns the settings of the scheduler core. */
    public SchedulerSettings schedulerSettings() {
        return new SchedulerSettings(
                span(Setting.WAIT_LIMIT_S),
                span(Setting.SHORT_JOB_S),
                span(Setting.LEAST_PAID_S),
                span(Setting.TERM_S),
                span(Setting.CHECK_S),
                get(Setting.BOOT_PATIENCE),
                get(Setting.BOOT_LIMIT),
                span(Setting.SPOT_PATIENCE_S),
                span(Setting.URGENT_SPOT_PATIENCE_S),
                span(Setting.BACKLOG_LIMIT_S),
                get(Setting.AIM_SHARE),
                span(Setting.REFUSED_FOR_S));
    }

    /**
     * Returns the length of the leader's lease: the configured length, limited to the maximum time for which a leader may not receive
     * cancellations. With the default, a new leader is elected by the time a worker gives up a failed leader ({@link
     * SafetyTimes#responseTimeout} plus one second). During an outage of the state service, the other nodes' pledges extend the
     * leadership. Throws {@link ConfigException} if the safety times leave less than one second for a lease.
     */
    public Span leaderLease(SafetyTimes safetyTimes) throws ConfigException {
        Span maxLease = safetyTimes.maxCancellationAge();
        if (maxLease.compareTo(Span.seconds(1)) < 0) {
            throw new ConfigException("settings.workers.cancel_s: too short beside lease_s for any leader's lease");
        }
        Span configuredLease = span(Setting.LEADER_LEASE_S);
        return configuredLease.compareTo(maxLease) > 0 ? maxLease : configuredLease;
    }
}
