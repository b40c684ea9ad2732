package io.indigoreach.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.Span;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the reading of the platform's and the operators' files, and the one-line errors for invalid files. */
class ConfigTest {
    private static final String PLATFORM_FILE = """
            node = "n0"
            domain = "east"
            serve_on = "10.0.0.1:8080"
            cluster_listen = "10.0.0.1:8081"
            some_new_field = [1, 2]
            [[peers]]
            node = "n1"
            domain = "west"
            endpoint = "10.0.0.2:8081"
            [endpoints]
            cloud = "10.2.0.2:8443"
            state = "10.2.0.1:2379"
            [settings]
            size = 2
            zones = ["east", "west"]
            skew_ms = 100.0
            [[settings.teams]]
            name = "t"
            cpus = 4.0
            cpus_max = 0.0
            [settings.workers]
            report_s = 2.0
            lease_s = 12.0
            cancel_s = 32.0
            [settings.state]
            rps = 150.0
            write_rps = 20.0
            value_kb = 8.0
            txn_ops = 16
            [settings.cloud]
            rps = 4.0
            list_lag_s = 3.0
            """;

    @Test
    void platformFileIsReadAndUnknownFieldsAreIgnored() throws ConfigException {
        PlatformConfig config = PlatformConfig.parse("f", PLATFORM_FILE);
        assertEquals("n0", config.node());
        assertEquals(8192, config.stateLimits().valueBytes());
        assertEquals(Span.seconds(12), config.safetyTimes().workerLease());
        assertEquals("10.0.0.2:8081", config.peers().get(0).endpoint().toString());
    }

    /** A platform file that is written from a parsed configuration parses to the same configuration. */
    @Test
    void platformFileRoundTrips() throws ConfigException {
        PlatformConfig config = PlatformConfig.parse("f", PLATFORM_FILE);
        assertEquals(config, PlatformConfig.parse("g", config.toText()));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "node = \"n0\"               |                    | f: node: missing",
                "serve_on = \"10.0.0.1:8080\" | serve_on = \"here\" | f: serve_on: not an address with a port",
                "write_rps = 20.0           | write_rps = 0      | f: settings.state.write_rps: must be above 0",
                "lease_s = 12.0             | lease_s = \"long\" | f: settings.workers.lease_s: not a number of at least 0",
                "name = \"t\"               | name = 3           | f: settings.teams[0].name: not a text",
                "txn_ops = 16               | txn_ops = 1        | f: settings.state.txn_ops: must be at least 2",
                "[settings.cloud]           | [settings.cloudy]  | f: settings.cloud: missing"
            })
    void invalidPlatformFieldIsReported(String line, String replacement, String message) {
        String text = PLATFORM_FILE.replace(line.strip(), replacement == null ? "" : replacement.strip());
        assertEquals(
                message,
                assertThrows(ConfigException.class, () -> PlatformConfig.parse("f", text))
                        .getMessage());
    }

    /**
     * If the service announces no limit, or a larger one than the current one, the current limit stays in force. A
     * smaller one applies from the start. Unknown fields are ignored.
     */
    @ParameterizedTest
    @CsvSource({
        "'', 20, 8192, 16",
        "'value_kb = 2.0\nwrite_rps = 15.0\ntxn_ops = 5', 15, 2048, 5",
        "'value_kb = 0.5\nfuture = 3', 20, 512, 16",
        "'value_kb = 64\nwrite_rps = 70.0\ntxn_ops = 17', 20, 8192, 16"
    })
    void announcedLimitsApplyFromTheStart(String next, double writes, int bytes, int ops) throws ConfigException {
        PlatformConfig config = PlatformConfig.parse("f", PLATFORM_FILE + "\n[settings.state.next]\n" + next);
        assertEquals(new PlatformConfig.StateLimits(150, writes, bytes, ops), config.stateLimits());
        assertEquals(config, PlatformConfig.parse("g", config.toText()));
    }

    @ParameterizedTest
    @CsvSource({
        "value_kb = 0, f: settings.state.next.value_kb: must be above 0",
        "txn_ops = 1, f: settings.state.next.txn_ops: must be at least 2",
        "write_rps = \"many\", f: settings.state.next.write_rps: not a number of at least 0"
    })
    void invalidAnnouncedLimitIsReported(String line, String message) {
        String text = PLATFORM_FILE + "\n[settings.state.next]\n" + line;
        assertEquals(
                message,
                assertThrows(ConfigException.class, () -> PlatformConfig.parse("f", text))
                        .getMessage());
    }

    @Test
    void invalidTomlIsReportedInOneLine() {
        String message = assertThrows(ConfigException.class, () -> PlatformConfig.parse("f", "node = = 3"))
                .getMessage();
        assertTrue(message.startsWith("f: not TOML") && message.lines().count() == 1, message);
    }

    @Test
    void operatorsSettingsOverrideDefaults() throws ConfigException {
        Settings settings = SettingsFile.parse("s", "wait_limit_s: 20 # a remark\nspot_patience_s: 90.5");
        assertEquals(Span.seconds(20), settings.schedulerSettings().waitLimit());
        assertEquals(Span.seconds(90.5), settings.schedulerSettings().spotPatience());
        assertEquals(
                Settings.defaults().schedulerSettings().term(),
                settings.schedulerSettings().term());
    }

    @ParameterizedTest
    @CsvSource({
        "no_such_setting: 3, no_such_setting",
        "wait_limit_s: -1, wait_limit_s",
        "term_s: 'x', s:",
        "check_s 5, s:",
        "check_s: nan, check_s"
    })
    void invalidSettingIsReportedWithFileAndField(String text, String named) {
        String message = assertThrows(ConfigException.class, () -> SettingsFile.parse("s", text))
                .getMessage();
        assertTrue(
                message.startsWith("s: ")
                        && message.contains(named)
                        && message.lines().count() == 1,
                message);
    }

    /** An isolated leader does not receive cancellations, so its lease, the workers' lease and a margin must fit into cancel_s. */
    @ParameterizedTest
    @CsvSource({"12, 32, 5, 5", "12, 32, 60, 15.688", "22, 42, 60, 15.678"})
    void leaderLeaseLeavesTimeForCancellations(double lease, double cancel, double configured, double expected)
            throws ConfigException {
        PlatformConfig config = PlatformConfig.parse(
                "f",
                PLATFORM_FILE
                        .replace("lease_s = 12.0", "lease_s = " + lease)
                        .replace("cancel_s = 32.0", "cancel_s = " + cancel));
        Settings settings = SettingsFile.parse("s", "leader_lease_s: " + configured);
        assertEquals(Span.seconds(expected), settings.leaderLease(config.safetyTimes()));
    }

    @Test
    void platformWithoutTimeForALeaderLeaseIsRejected() throws ConfigException {
        PlatformConfig config = PlatformConfig.parse("f", PLATFORM_FILE.replace("cancel_s = 32.0", "cancel_s = 15.0"));
        assertThrows(ConfigException.class, () -> Settings.defaults().leaderLease(config.safetyTimes()));
    }
}
