package io.indigoreach.config;

import io.indigoreach.GoldenFile;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Compares the written platform file, and the one-line errors for invalid files, with golden texts. */
class GoldenSettingsTest {
    private static final String PLATFORM_FILE = """
            node = "n0"
            domain = "east"
            serve_on = "10.0.0.1:8080"
            cluster_listen = "10.0.0.1:8081"
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
            cpus_max = 8.5
            [[settings.objectives]]
            kind = "wait"
            class = "tours"
            within_s = 600.0
            share = 0.95
            [settings.workers]
            report_s = 2.0
            lease_s = 12.0
            cancel_s = 32.0
            [settings.state]
            rps = 150.0
            write_rps = 20.0
            value_kb = 8.0
            txn_ops = 16
            [settings.state.next]
            value_kb = 2.0
            [settings.cloud]
            rps = 4.0
            list_lag_s = 3.0
            [settings.machine_limits]
            max_connections = 500
            """;

    private static final String[][] INVALID_PLATFORM_CHANGES = {
        {"node = \"n0\"", ""},
        {"node = \"n0\"", "node = 3"},
        {"node = \"n0\"", "node = = 3"},
        {"node = \"n0\"", "node = \"\""},
        {"domain = \"east\"", ""},
        {"serve_on = \"10.0.0.1:8080\"", "serve_on = \"here\""},
        {"cluster_listen = \"10.0.0.1:8081\"", ""},
        {"[[peers]]", "[peers]"},
        {"endpoint = \"10.0.0.2:8081\"", "endpoint = \"10.0.0.2\""},
        {"[endpoints]", "[endpoint]"},
        {"cloud = \"10.2.0.2:8443\"", "cloud = 8443"},
        {"state = \"10.2.0.1:2379\"", ""},
        {"zones = [\"east\", \"west\"]", "zones = \"east\""},
        {"zones = [\"east\", \"west\"]", ""},
        {"skew_ms = 100.0", "skew_ms = -1"},
        {"[[settings.teams]]", "[[settings.groups]]"},
        {"name = \"t\"", "name = 3"},
        {"cpus = 4.0", "cpus = \"four\""},
        {"kind = \"wait\"", ""},
        {"within_s = 600.0", "within_s = -600"},
        {"[settings.workers]", "[settings.worker]"},
        {"report_s = 2.0", "report_s = 0"},
        {"lease_s = 12.0", "lease_s = \"long\""},
        {"cancel_s = 32.0", ""},
        {"rps = 150.0", "rps = 0"},
        {"write_rps = 20.0", "write_rps = 0"},
        {"value_kb = 8.0", "value_kb = nan"},
        {"txn_ops = 16", "txn_ops = 1"},
        {"value_kb = 2.0", "value_kb = 0"},
        {"value_kb = 2.0", "txn_ops = 1"},
        {"[settings.cloud]", "[settings.clouds]"},
        {"rps = 4.0", "rps = inf"},
        {"list_lag_s = 3.0", "list_lag_s = true"},
        {"max_connections = 500", "max_connections = \"many\""},
    };

    private static final String[] INVALID_SETTINGS = {
        "no_such_setting: 3",
        "wait_limit_s: -1",
        "wait_limit_s: 1\nterm_s: 'x'",
        "check_s 5",
        "check_s: nan",
        "boot_limit: 101",
        "calendar: 2",
        "wait_limit_s: {",
    };

    @Test
    void platformFileAndErrorsMatchGoldenFile() throws ConfigException {
        GoldenFile golden = new GoldenFile("settings.txt");
        PlatformConfig config = PlatformConfig.parse("f", PLATFORM_FILE);
        golden.expectText("platform's file", config.toText())
                .expectText(
                        "platform's file, read and written again",
                        PlatformConfig.parse("f", config.toText()).toText());
        for (String[] change : INVALID_PLATFORM_CHANGES) {
            String text = PLATFORM_FILE.replace(change[0] + "\n", change[1] + "\n");
            golden.expectText(
                    "wrong: " + change[0] + " -> " + change[1],
                    GoldenFile.failureMessage(() -> PlatformConfig.parse("f", text)));
        }
        for (String text : INVALID_SETTINGS) {
            golden.expectText(
                    "wrong: " + text.replace("\n", " ; "),
                    GoldenFile.failureMessage(() -> SettingsFile.parse("s", text)));
        }
        for (String cancel : new String[] {"15.0", "13.0"}) {
            PlatformConfig shortCancellation =
                    PlatformConfig.parse("f", PLATFORM_FILE.replace("cancel_s = 32.0", "cancel_s = " + cancel));
            golden.expectText(
                    "too short cancel_s " + cancel,
                    GoldenFile.failureMessage(() -> Settings.defaults().leaderLease(shortCancellation.safetyTimes())));
        }
        golden.expectText(
                "settings, listed",
                Arrays.stream(Settings.Setting.values())
                        .map(Settings.Setting::help)
                        .collect(Collectors.joining("\n")));
        golden.expectText(
                        "no such file",
                        GoldenFile.failureMessage(() -> PlatformConfig.read(java.nio.file.Path.of("/nowhere/x"))))
                .expectText(
                        "no such settings",
                        GoldenFile.failureMessage(() -> SettingsFile.read(java.nio.file.Path.of("/nowhere/x"))));
        golden.verify();
    }
}
