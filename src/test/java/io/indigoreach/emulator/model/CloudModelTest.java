package io.indigoreach.emulator.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.cloud.CloudCodec;
import io.indigoreach.config.ConfigException;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.scenario.Deployment;
import io.indigoreach.scenario.TextForm;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What the cloud does with requests, machines and money. */
class CloudModelTest {
    private static final Moment T = new Moment(0);
    private static final MachinePool ORDINARY = new MachinePool("m", "z", false);
    private static final MachinePool SPOT = new MachinePool("m", "z", true);

    private static CloudModel cloud(String cloud, String spot) throws ConfigException {
        return new CloudModel(
                TextForm.parse("d", """
                zones: "z"
                cloud { rps: 1000 list_lag_s: 3 boot_never: 0 boot_late: 0 %s }
                spot { per_hour: 0 %s }
                machine_type { name: "m" cores: 2 ram_gb: 4 price: 3.6 spot_price: 0.9 boot_s: 10 }
                capacity { type: "m" zone: "z" count: 5 spot: 60 }
                team { name: "t" }
                """.formatted(cloud, spot), Deployment.class), new SplittableRandom(1), T, 0);
    }

    private static Moment at(double s) {
        return T.plus(Span.seconds(s));
    }

    private static List<MachineId> rent(CloudModel cloud, double s, String name, MachinePool pool, int count) {
        ServiceResponse r = cloud.rent(at(s), new CloudCodec.RentalRequest(name, pool, count));
        return r.isOk() ? CloudCodec.readMachineIds(r.body()) : List.of();
    }

    private static List<String> listed(CloudModel cloud, double s) {
        return cloud.list(at(s), null, 500).body().children("boxes").stream()
                .map(b -> b.text("id"))
                .toList();
    }

    /** A name that was answered gets the same answer for ever, one that was refused may be used again. */
    @Test
    void answersRepeatedNamesAlike() throws ConfigException {
        CloudModel cloud = cloud("", "");
        List<MachineId> first = rent(cloud, 0, "r-1", ORDINARY, 4);
        assertEquals(first, rent(cloud, 1, "r-1", ORDINARY, 4));
        assertEquals(1, rent(cloud, 1, "r-2", ORDINARY, 4).size(), "filled in part");
        assertEquals(
                503,
                cloud.rent(at(2), new CloudCodec.RentalRequest("r-3", ORDINARY, 1))
                        .status());
        cloud.giveBack(at(3), first);
        assertEquals(1, rent(cloud, 4, "r-3", ORDINARY, 1).size());
        assertEquals(first, rent(cloud, 5, "r-1", ORDINARY, 4), "though they are gone");
    }

    @ParameterizedTest
    @CsvSource({"q, z, 1, 400", "m, q, 1, 400", "m, z, 0, 400", "m, z, 51, 400", "m, z, 50, 200"})
    void refusesWhatIsMalformed(String type, String zone, int count, int status) throws ConfigException {
        assertEquals(
                status,
                cloud("", "")
                        .rent(T, new CloudCodec.RentalRequest("r", new MachinePool(type, zone, true), count))
                        .status());
    }

    @Test
    void limitsRequestsWithTwoSecondsWorthOfBurst() throws ConfigException {
        CloudModel cloud = cloud("rps: 4", "");
        for (int i = 0; i < 8; i++) {
            assertEquals(200, cloud.types(T).status());
        }
        assertEquals(429, cloud.types(T).status());
        assertEquals(200, cloud.types(at(0.25)).status());
    }

    /** By the second, at least a minute for a machine that is returned; none after it failed. */
    @Test
    void chargesBySecondAndAMinuteAtLeast() throws ConfigException {
        CloudModel cloud = cloud("", "");
        List<MachineId> m = rent(cloud, 0, "r-1", ORDINARY, 2);
        assertEquals(0.02, cloud.spent(at(10)), 1e-9);
        cloud.giveBack(at(10), m.subList(0, 1));
        assertEquals(0.06 + 0.01, cloud.spent(at(10)), 1e-9);
        cloud.giveBack(at(100), m.subList(1, 2));
        assertEquals(0.06 + 0.1, cloud.spent(at(500)), 1e-9);
        rent(cloud, 500, "r-2", ORDINARY, 1);
        cloud.advance(at(520));
        cloud.die(at(530), 1);
        assertEquals(0.16 + 0.03, cloud.spent(at(900)), 1e-9);
        rent(cloud, 900, "r-3", SPOT, 1);
        double spot = cloud.spent(at(1900)) - 0.19;
        assertTrue(spot > 0.25 * 2 / 3 && spot < 0.25 * 4 / 3, "the price moves by up to a third: " + spot);
    }

    @Test
    void movesSpotPrices() throws ConfigException {
        CloudModel cloud = cloud("", "");
        Set<Double> prices = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            double price =
                    cloud.types(at(i * 10)).body().children("boxkinds").get(0).number("low_price");
            assertTrue(price >= 0.6 - 1e-9 && price <= 1.2 + 1e-9, "" + price);
            prices.add(price);
        }
        assertTrue(prices.size() > 50);
    }

    /** New machines are missing and gone ones appear for a while; once listed, one stays listed until it is gone. */
    @Test
    void listsThePast() throws ConfigException {
        CloudModel cloud = cloud("", "");
        rent(cloud, 10, "r-1", SPOT, 20);
        assertEquals(List.of(), listed(cloud, 10.5));
        List<String> seen = new ArrayList<>();
        boolean older = false;
        double lastHeld = 0;
        for (double s = 10.5; s < 40; s += 0.1) {
            List<Fields> boxes = cloud.list(at(s), null, 500).body().children("boxes");
            List<String> now = boxes.stream().map(b -> b.text("id")).toList();
            assertTrue(now.containsAll(seen), "at " + s);
            seen = now;
            if (!boxes.isEmpty()) {
                older |= boxes.get(0).number("held_s") < lastHeld - 1;
                lastHeld = boxes.get(0).number("held_s");
            }
        }
        assertEquals(20, seen.size());
        assertTrue(older, "a list may be older than the one before");
        cloud.giveBack(at(40), List.of(new MachineId(seen.get(0))));
        assertTrue(listed(cloud, 40.1).contains(seen.get(0)));
        assertFalse(listed(cloud, 46.1).contains(seen.get(0)));
    }

    @Test
    void pagesTheList() throws ConfigException {
        CloudModel cloud = cloud("", "");
        rent(cloud, 0, "r-1", SPOT, 50);
        Fields first = cloud.list(at(20), null, 20).body();
        assertTrue(first.flag("truncated", false));
        Fields rest = cloud.list(
                        at(20), new MachineId(first.children("boxes").get(19).text("id")), 500)
                .body();
        assertEquals(30, rest.children("boxes").size());
    }

    /** Machines that boot late, never, and that fail: what is told, and what the list says of them. */
    @Test
    void bootsLateOrNever() throws ConfigException {
        CloudModel cloud = cloud("boot_late: 1", "");
        rent(cloud, 0, "r-1", ORDINARY, 1);
        cloud.noBoot(true);
        rent(cloud, 0, "r-2", ORDINARY, 1);
        cloud.noBoot(false);
        cloud.advance(at(29));
        assertTrue(cloud.drain().isEmpty());
        cloud.advance(at(61));
        assertEquals(1, cloud.drain().size());
        cloud.advance(at(10_000));
        assertEquals(
                List.of("running", "starting"),
                cloud.list(at(10_000), null, 9).body().children("boxes").stream()
                        .map(b -> b.text("status"))
                        .toList());
        cloud.die(at(10_000), 1);
        assertEquals(
                "running",
                cloud.list(at(10_020), null, 9).body().children("boxes").get(0).text("status"));
        assertEquals(
                "failed",
                cloud.list(at(10_040), null, 9).body().children("boxes").get(0).text("status"));
    }

    /** Taken with a notice of the nominal length give or take half, or without; then gone by itself. */
    @Test
    void takesSpotMachines() throws ConfigException {
        CloudModel cloud = cloud("", "per_hour: 60 notice_s: 12 silent: 0.3");
        rent(cloud, 0, "r-1", SPOT, 50);
        rent(cloud, 0, "r-2", ORDINARY, 5);
        int notices = 0;
        int gone = 0;
        for (double s = 0; s < 3600; s += 0.5) {
            cloud.advance(at(s));
            for (CloudModel.Event e : cloud.drain()) {
                if (e instanceof CloudModel.Event.Notice n) {
                    notices++;
                    double left = n.until().since(at(s)).seconds();
                    assertTrue(left <= 18 && (left >= 5 || s < 20), "" + left);
                }
                gone += e instanceof CloudModel.Event.Gone ? 1 : 0;
            }
        }
        assertEquals(50, gone);
        assertTrue(notices > 25 && notices < 46, "" + notices);
        assertEquals(5, cloud.counts()[1]);
    }

    /** The same seed gives the same world, another one another. */
    @Test
    void repeatsItself() throws ConfigException {
        List<String> runs = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            CloudModel cloud = cloud("boot_late: 0.3", "per_hour: 20");
            rent(cloud, 0, "r-1", SPOT, 50);
            StringBuilder run = new StringBuilder();
            for (double s = 0; s < 600; s += 1) {
                cloud.advance(at(s));
                cloud.drain()
                        .forEach(e -> run.append(e.getClass().getSimpleName())
                                .append(e.machine().id()));
            }
            runs.add(run.append(cloud.spent(at(600))).toString());
        }
        assertEquals(runs.get(0), runs.get(1));
        assertNotEquals("", runs.get(0));
    }
}
