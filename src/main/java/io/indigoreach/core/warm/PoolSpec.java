package io.indigoreach.core.warm;

import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Team;
import java.util.Collection;
import java.util.List;

/**
 * A pool of machines that hold one model's image ahead of its replicas.
 *
 * @param team pays for what no task uses
 * @param image the model's image, {@code gb} its size; a new version is another image under the same name
 * @param replica what one replica takes of a machine
 * @param zones none: every zone of the types
 * @param zonePart the part of the pool that may stand in one zone
 * @param least machines held at any time; {@code most}: never more
 * @param wanted part of bursts whose replicas all start without a fetch: the newsvendor's ratio ({@link PoolSizing})
 * @param learned what bursts ask for is also learned from what replicas were seen
 * @param budget money that the pool's account may reach; then it shrinks
 * @param spot on spot machines, else on ordinary ones
 */
public record PoolSpec(
        String name,
        String team,
        String image,
        double gb,
        Resources replica,
        List<String> types,
        List<String> zones,
        double zonePart,
        int least,
        int most,
        double wanted,
        List<BurstWindow> windows,
        boolean learned,
        double budget,
        boolean spot) {
    public static final int MOST = 2000;
    public static final int MOST_WINDOWS = 24;
    private static final int LONGEST_NAME = 60;

    public PoolSpec {
        types = List.copyOf(types);
        zones = List.copyOf(zones);
        windows = List.copyOf(windows);
    }

    /** A field that cannot be as it is. */
    public record Fault(String field, String reason) {}

    public static boolean isName(String text) {
        return text.matches("[a-z0-9][a-z0-9.-]{0," + (LONGEST_NAME - 1) + "}");
    }

    /** What is wrong with it by itself and by what there is to rent; null if nothing is. */
    public Fault fault(Collection<Team> teams, Collection<MachineType> catalogue) {
        if (teams.stream().noneMatch(t -> t.name().equals(team))) {
            return new Fault("team", "unknown team " + team);
        }
        if (least < 0 || least > most) {
            return new Fault("least", "must be from 0 to most");
        }
        if (most > MOST) {
            return new Fault("most", "must be " + MOST + " or less");
        }
        if (!(wanted > 0 && wanted < 1)) {
            return new Fault("wanted", "must lie between 0 and 1: the part of bursts to be served without a fetch");
        }
        if (!(zonePart > 0 && zonePart <= 1)) {
            return new Fault("zone_part", "must be above 0 and at most 1");
        }
        if (!(budget >= 0)) {
            return new Fault("budget", "must be 0 or more");
        }
        if (types.isEmpty()) {
            return new Fault("types", "name at least one machine type");
        }
        if (windows.size() > MOST_WINDOWS) {
            return new Fault("windows", "at most " + MOST_WINDOWS);
        }
        for (BurstWindow w : windows) {
            if (w.from() < 0
                    || w.from() >= BurstWindow.DAY
                    || w.to() < 0
                    || w.to() >= BurstWindow.DAY
                    || !(w.replicas() >= 0)) {
                return new Fault("windows", "each is [from, to, replicas], from and to in minutes of the day");
            }
        }
        for (String name : types) {
            MachineType type = catalogue.stream()
                    .filter(t -> t.name().equals(name))
                    .findFirst()
                    .orElse(null);
            if (type == null) {
                return new Fault("types", "unknown machine type " + name);
            }
            if (type.imageCacheGb() > 0 && gb > type.imageCacheGb()) {
                return new Fault("gb", gb + " GB do not fit the cache of " + name + ", " + type.imageCacheGb() + " GB");
            }
            if (!replica.fitsIn(type.capacity())) {
                return new Fault("cores", "a replica does not fit " + name);
            }
            if (spot && type.spotPrice() <= 0) {
                return new Fault("spot", "there are no spot machines of type " + name);
            }
            for (String zone : zones) {
                if (!type.zones().contains(zone)) {
                    return new Fault("zones", "no " + name + " in zone " + zone);
                }
            }
        }
        return null;
    }

    boolean allows(MachinePool where) {
        return types.contains(where.type())
                && (zones.isEmpty() || zones.contains(where.zone()))
                && where.spot() == spot;
    }
}
