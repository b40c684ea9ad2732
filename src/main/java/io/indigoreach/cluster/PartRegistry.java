package io.indigoreach.cluster;

import io.indigoreach.calendar.CalendarPart;
import io.indigoreach.config.Settings;
import io.indigoreach.core.ownership.Registry;
import io.indigoreach.ownership.OwnershipPart;
import io.indigoreach.parts.Parts;
import io.indigoreach.warm.PoolRecords;
import io.indigoreach.warm.WarmPart;
import java.util.List;

/**
 * The parts that a node can have beside the jobs. It belongs to the node's composition root, so that the package
 * {@code parts}, on which every part rests, names none of them.
 */
public final class PartRegistry {
    /** Every part there is: a new one is added here, and nowhere else. */
    private static final List<Parts.Kind> KINDS = List.of(
            new Parts.Kind(Settings.Setting.CALENDAR, CalendarPart.FAMILIES, CalendarPart::new),
            new Parts.Kind(Settings.Setting.RECORD_OWNERSHIP, Registry.FAMILIES, OwnershipPart::new),
            new Parts.Kind(Settings.Setting.WARM_POOLS, PoolRecords.FAMILIES, WarmPart::new));

    private PartRegistry() {}

    /** The parts that the settings switch on. */
    public static List<Parts.Kind> switchedOn(Settings settings) {
        return KINDS.stream().filter(kind -> settings.get(kind.knob()) > 0).toList();
    }
}
